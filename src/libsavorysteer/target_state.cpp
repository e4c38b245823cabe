#include "target_state.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

/// Upper bound of one relative response time. Larger values would not change
/// the placement: the target is avoided in any case.
constexpr double MaxSlowness = 20;
/// Weight per VM of one report in the mean of other VMs' requests, and its
/// bounds. With 10 VMs the mean covers ten reports. With 90 VMs a target
/// reports to each of them every 3 s, and ten reports would take half a minute.
constexpr double OthersWeightPerVm = 0.01;
constexpr double MinOthersWeight = 0.1;
constexpr double MaxOthersWeight = 0.4;

/// Maximum number of objects recorded per target; more than a target caches.
constexpr std::size_t MaxObjects = 128;

double decay(Duration age, Duration timeConstant) {
  if (age <= Duration::zero())
    return 1;
  return std::exp(-static_cast<double>(age.count()) /
                  static_cast<double>(timeConstant.count()));
}

} // namespace

void setReportSmoothing(TargetState &target, int vms) {
  target.OthersWeight =
      std::clamp(OthersWeightPerVm * vms, MinOthersWeight, MaxOthersWeight);
  target.ReportTimeConstant = std::clamp(
      vms * Duration(ReportTimeConstantPerVm), Duration(MinReportTimeConstant),
      Duration(MaxReportTimeConstant));
}

void recordLoad(TargetState &target, const TargetLoad &load, MonoTime now) {
  double others =
      load.Running + load.Waiting - static_cast<double>(target.InFlight.size());
  target.OthersReported = std::max(0.0, others);
  target.OthersMean +=
      target.OthersWeight * (target.OthersReported - target.OthersMean);
  target.ReportedAt = now;
  if (load.Slots > 0)
    target.Entry.Slots = load.Slots;
}

void recordOwnLoad(TargetState &target, const TargetLoad &load, MonoTime now) {
  int requests = load.Running + load.Waiting;
  target.LastOwnReading = {requests, load.MachineSlowness, now, false};
  recordSharedLoad(target, requests, load.MachineSlowness, now);
  if (load.Slots > 0)
    target.Entry.Slots = load.Slots;
}

void recordSharedLoad(TargetState &target, int requests, int machineSlowness,
                      MonoTime at) {
  if (at < target.ReportedAt)
    return;
  // Requests that this VM sent after the reading count on top of it.
  auto own = std::count_if(target.InFlight.begin(), target.InFlight.end(),
                           [&](MonoTime sentAt) { return sentAt <= at; });
  double others = std::max(0.0, requests - static_cast<double>(own));
  double weight = 1 - decay(at - target.ReportedAt, SharedMeanTimeConstant);
  target.OthersMean += weight * (others - target.OthersMean);
  target.OthersReported = others;
  target.ReportTimeConstant = SharedLoadTimeConstant;
  target.MachineSlowness = machineSlowness > 0 ? machineSlowness / 100.0 : 1;
  target.ReportedAt = at;
}

double machineSlowness(const TargetState &target, MonoTime now) {
  return 1 + (target.MachineSlowness - 1) *
                 decay(now - target.ReportedAt, MachineSlownessTimeConstant);
}

void recordResult(TargetState &target, TargetResult result, double relative,
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

void updateEntry(TargetState &target, const TargetEntry &entry, MonoTime now) {
  bool restarted = entry.StartId != target.Entry.StartId ||
                   entry.Address != target.Entry.Address;
  int slots = target.Entry.Slots;
  if (restarted) {
    target.FailureRate = 0;
    target.Slowness = 1;
    target.OthersReported = target.OthersMean = 0;
    target.MachineSlowness = 1;
    target.LastOwnReading = OwnReading();
    target.Objects.clear();
    target.Suspended = false;
    target.Suspension = Duration::zero();
    target.Notices = TargetNotices();
  }
  target.Entry = entry;
  if (!restarted && entry.Slots <= 0)
    target.Entry.Slots = slots;
  if (entry.WarmupLeft > Millis::zero())
    target.ColdUntil = std::max(target.ColdUntil, now + entry.WarmupLeft);
}

void recordObject(TargetState &target, const std::string &object,
                  MonoTime now) {
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
  double weight = decay(now - target.ReportedAt, target.ReportTimeConstant);
  return static_cast<double>(target.InFlight.size()) +
         weight * target.OthersReported + (1 - weight) * target.OthersMean;
}

double currentFailureRate(const TargetState &target, MonoTime now) {
  return target.FailureRate * decay(now - target.ResultAt, ResultTimeConstant);
}

double currentSlowness(const TargetState &target, MonoTime now) {
  double left = decay(now - target.ResultAt, ResultTimeConstant);
  return 1 + (target.Slowness - 1) * left;
}

} // namespace savorylb
