#include "warmup_gate.h"

#include "savorylb/hash.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Fraction of the rate that the sender uses. The bound over all VMs is 1.5
/// times the rate, and two VMs may be sending.
constexpr double SenderFraction = 0.8;
/// Size of the token bucket: requests that may be sent at once after a pause.
constexpr double WarmupBurst = 2;

double tokensAt(const TargetState &target, double perSecond, MonoTime now) {
  double span =
      static_cast<double>((now - target.WarmupTokensAt).count()) / 1e6;
  return std::min(WarmupBurst,
                  target.WarmupTokens + SenderFraction * perSecond * span);
}

} // namespace

VmId warmupSender(const TargetState &target,
                  const std::vector<WarmupSender> &vms) {
  bool sameRegion =
      std::any_of(vms.begin(), vms.end(), [&](const WarmupSender &it) {
        return it.Region == target.Region;
      });
  VmId best;
  std::uint64_t highest = 0;
  for (const WarmupSender &it : vms) {
    if (sameRegion && it.Region != target.Region)
      continue;
    std::uint64_t hash =
        stableHash(it.Vm.Value, stableHash(target.Entry.Id.Value));
    if (best.empty() || hash > highest) {
      best = it.Vm;
      highest = hash;
    }
  }
  return best;
}

bool hasWarmupToken(const TargetState &target, double perSecond, MonoTime now) {
  return tokensAt(target, perSecond, now) >= 1;
}

bool takeWarmupToken(TargetState &target, double perSecond, MonoTime now) {
  double tokens = tokensAt(target, perSecond, now);
  target.WarmupTokensAt = now;
  target.WarmupTokens = tokens;
  if (tokens < 1)
    return false;
  target.WarmupTokens -= 1;
  return true;
}

} // namespace savorylb
