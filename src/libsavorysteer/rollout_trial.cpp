#include "rollout_trial.h"

#include "savorylb/hash.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

/// Largest share of the requests that a trial uses, however few they are.
constexpr double MaxTrialShare = 0.5;
/// Fraction of their slots that the targets of a trial use on average.
constexpr double TrialUtilization = 0.65;
/// Resolution at which a hash is mapped to a fraction.
constexpr std::uint64_t HashSteps = 1 << 20;

double toSeconds(Duration span) {
  return static_cast<double>(span.count()) / 1e6;
}

double requestRate(const TrialCredit &credit, int vms, MonoTime now) {
  return vms * static_cast<double>(credit.Seen) /
         std::max(1.0, toSeconds(now - credit.StartedAt));
}

double extraPerSecond(const TrialCredit &credit, const RolloutStep &step,
                      int vms, MonoTime now) {
  double missing =
      step.WantedPerSecond - step.Share * requestRate(credit, vms, now);
  return std::clamp(missing, 0.0, step.ExtraPerSecond);
}

} // namespace

TrialCredit startTrial(const VmId &vm, StorePosition orderRevision,
                       MonoTime now) {
  auto seed = static_cast<std::uint64_t>(orderRevision.Number.Value);
  TrialCredit credit;
  credit.Requests =
      static_cast<double>(stableHash(vm.Value, seed) % HashSteps) /
      static_cast<double>(HashSteps);
  credit.StartedAt = credit.AccruedAt = now;
  return credit;
}

void accrueCredit(TrialCredit &credit, const RolloutStep &step, int vms,
                  MonoTime now) {
  ++credit.Seen;
  double extra = extraPerSecond(credit, step, vms, now) / std::max(1, vms) *
                 toSeconds(now - credit.AccruedAt);
  credit.AccruedAt = now;
  credit.Requests +=
      std::max(step.Share, std::min(step.Share + extra, MaxTrialShare));
}

double trialRate(const TrialCredit &credit, const RolloutStep &step, int vms,
                 MonoTime now) {
  return step.Share * requestRate(credit, vms, now) +
         extraPerSecond(credit, step, vms, now);
}

std::size_t trialTargets(const TrialLoad &load, int slots,
                         std::size_t targets) {
  double perTarget = TrialUtilization * std::max(1, slots);
  double n = std::ceil(load.PerSecond * load.WorkMs / 1000.0 / perTarget);
  if (n >= static_cast<double>(targets))
    return targets;
  return static_cast<std::size_t>(std::max(1.0, n));
}

bool hasTrialRoom(const TargetState &target, MonoTime now) {
  return expectedRequests(target, now) + 1 <= std::max(1, target.Entry.Slots);
}

} // namespace savorylb
