#include "savorylb/lender_choice.h"

#include <algorithm>
#include <utility>

namespace savorylb {
namespace {

/// A lender in another region answers later, so it is asked before one of the
/// own region only if it has this many times the tokens.
constexpr std::int64_t RemoteRegionDivisor = 4;

/// \returns the newest known level, weighted by the distance to the lender.
std::int64_t effectiveLevel(const LenderCandidate &candidate,
                            const LenderLevels &reported) {
  LenderLevel newest = candidate.Published;
  auto it = reported.find(candidate.Vm);
  if (it != reported.end() && it->second.AsOf > newest.AsOf)
    newest = it->second;
  return candidate.SameRegion ? newest.Level.Value
                              : newest.Level.Value / RemoteRegionDivisor;
}

} // namespace

std::vector<VmId> chooseLenders(const std::vector<LenderCandidate> &candidates,
                                const LenderLevels &reported) {
  std::vector<std::pair<std::int64_t, VmId>> ranked;
  ranked.reserve(candidates.size());
  for (const LenderCandidate &it : candidates)
    ranked.emplace_back(-effectiveLevel(it, reported), it.Vm);
  std::sort(ranked.begin(), ranked.end());
  std::vector<VmId> lenders;
  for (const auto &[level, vm] : ranked)
    if (lenders.size() < MaxLendersAsked)
      lenders.push_back(vm);
  return lenders;
}

} // namespace savorylb
