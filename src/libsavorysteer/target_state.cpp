#include "target_state.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

/// Slowness above this says no more than that the target should be left alone.
constexpr double MaxSlowness = 20;
/// Part of one report in the mean of other VMs' requests, for each VM, and its
/// bounds: ten reports with 10 VMs. With 90 VMs a target reports to each of
/// them every 3 s, and ten reports are half a minute.
constexpr double OthersWeightPerVm = 0.01;
constexpr double MinOthersWeight = 0.1;
constexpr double MaxOthersWeight = 0.4;

/// Objects remembered of one target; more than a target has cached.
constexpr std::size_t MaxObjects = 128;

double remaining(Duration age, Duration memory) {
  if (age <= Duration::zero())
    return 1;
  return std::exp(-static_cast<double>(age.count()) /
                  static_cast<double>(memory.count()));
}

} // namespace

void setReportMemory(TargetState &target, int vms) {
  target.OthersWeight =
      std::clamp(OthersWeightPerVm * vms, MinOthersWeight, MaxOthersWeight);
  target.ReportMemory =
      std::clamp(vms * Duration(ReportMemoryPerVm), Duration(MinReportMemory),
                 Duration(MaxReportMemory));
}

void noteLoad(TargetState &target, const TargetLoad &load, MonoTime now) {
  double others =
      load.Running + load.Waiting - static_cast<double>(target.InFlight.size());
  target.OthersLast = std::max(0.0, others);
  target.OthersMean +=
      target.OthersWeight * (target.OthersLast - target.OthersMean);
  target.ReportedAt = now;
  if (load.Slots > 0)
    target.Entry.Slots = load.Slots;
}

void noteResult(TargetState &target, TargetResult result, double relative,
                MonoTime now) {
  double rate = currentFailureRate(target, now);
  double slow = currentSlowness(target, now);
  bool bad = result != TargetResult::Answered;
  target.FailureRate = rate + ResultWeight * ((bad ? 1.0 : 0.0) - rate);
  target.Slowness = slow;
  if (relative >= 0)
    target.Slowness += ResultWeight * (std::min(relative, MaxSlowness) - slow);
  target.ResultAt = now;
  if (result == TargetResult::Unreachable) {
    target.Suspension =
        std::clamp(2 * target.Suspension, FirstSuspension, MaxSuspension);
    target.Suspended = true;
    target.SuspendedUntil = now + target.Suspension;
  } else {
    target.Suspended = false;
    target.Suspension = Duration::zero();
  }
}

void noteEntry(TargetState &target, const TargetEntry &entry, MonoTime now) {
  bool restarted = entry.Birth != target.Entry.Birth ||
                   entry.Address != target.Entry.Address;
  int slots = target.Entry.Slots;
  if (restarted) {
    target.FailureRate = 0;
    target.Slowness = 1;
    target.OthersLast = target.OthersMean = 0;
    target.Objects.clear();
    target.Suspended = false;
    target.Suspension = Duration::zero();
  }
  target.Entry = entry;
  if (!restarted && entry.Slots <= 0)
    target.Entry.Slots = slots;
  if (entry.WarmupLeft > Millis::zero())
    target.ColdUntil = std::max(target.ColdUntil, now + entry.WarmupLeft);
}

void noteObject(TargetState &target, const std::string &object, MonoTime now) {
  if (object.empty())
    return;
  if (target.Objects.size() >= MaxObjects && !target.Objects.count(object)) {
    auto oldest = std::min_element(
        target.Objects.begin(), target.Objects.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; });
    target.Objects.erase(oldest);
  }
  target.Objects[object] = now;
}

bool isSuspended(const TargetState &target, MonoTime now) {
  return target.Suspended &&
         (now < target.SuspendedUntil || !target.InFlight.empty());
}

double expectedRequests(const TargetState &target, MonoTime now) {
  double fresh = remaining(now - target.ReportedAt, target.ReportMemory);
  return static_cast<double>(target.InFlight.size()) +
         fresh * target.OthersLast + (1 - fresh) * target.OthersMean;
}

double currentFailureRate(const TargetState &target, MonoTime now) {
  return target.FailureRate * remaining(now - target.ResultAt, ResultMemory);
}

double currentSlowness(const TargetState &target, MonoTime now) {
  double left = remaining(now - target.ResultAt, ResultMemory);
  return 1 + (target.Slowness - 1) * left;
}

} // namespace savorylb
