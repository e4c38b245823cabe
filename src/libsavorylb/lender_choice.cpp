#include "savorylb/lender_choice.h"

#include <algorithm>
#include <utility>

namespace savorylb {
namespace {

/// A lender in another region answers later; it must have this many times the
/// tokens to be asked first.
constexpr std::int64_t FarDiscount = 4;

std::int64_t worthOf(const LenderCandidate &candidate,
                     const LenderLevels &stated) {
  LenderLevel newest = candidate.Published;
  auto it = stated.find(candidate.Vm);
  if (it != stated.end() && it->second.AsOf > newest.AsOf)
    newest = it->second;
  return candidate.SameRegion ? newest.Level.Value
                              : newest.Level.Value / FarDiscount;
}

} // namespace

std::vector<VmId> chooseLenders(const std::vector<LenderCandidate> &candidates,
                                const LenderLevels &stated) {
  std::vector<std::pair<std::int64_t, VmId>> ranked;
  ranked.reserve(candidates.size());
  for (const LenderCandidate &it : candidates)
    ranked.emplace_back(-worthOf(it, stated), it.Vm);
  std::sort(ranked.begin(), ranked.end());
  std::vector<VmId> lenders;
  for (const auto &[worth, vm] : ranked)
    if (lenders.size() < MaxLendersAsked)
      lenders.push_back(vm);
  return lenders;
}

} // namespace savorylb
