#include "slot_limit.h"

#include <algorithm>

namespace savorylb {

namespace {

/// \returns whether the newest report is recent enough to limit the target.
bool reportIsCurrent(const OwnedTarget &target, MonoTime now) {
  return target.Report && now - target.Report->MeasuredAt <= ReportLifetime;
}

/// \returns the slot limit during warm-up: it rises linearly from one slot to
/// all slots.
int warmUpLimit(const OwnedTarget &target, Duration warmUp, MonoTime now) {
  Duration elapsed = now - target.WarmUpStart;
  if (elapsed >= warmUp)
    return target.Spec.Slots;
  auto extra =
      (target.Spec.Slots - 1) * std::max(elapsed, Duration(0)) / warmUp;
  return std::min<int>(target.Spec.Slots, 1 + static_cast<int>(extra));
}

/// Frees slots of abandoned requests when the report shows that fewer requests
/// run at all. Requests that were abandoned just before the report are not
/// considered, since they may have reached the target only after it.
void freeAbandonedSlots(OwnedTarget &target, const LoadReport &report) {
  int abandoned = 0;
  for (const auto &[number, since] : target.ReleasedWhileBusy)
    if (report.MeasuredAt > since + InTransitTime)
      ++abandoned;
  for (auto it = target.ReleasedWhileBusy.begin();
       it != target.ReleasedWhileBusy.end() &&
       abandoned > std::max(0, report.Busy);) {
    if (report.MeasuredAt <= it->second + InTransitTime) {
      ++it;
      continue;
    }
    target.Grants.erase(it->first);
    it = target.ReleasedWhileBusy.erase(it);
    --abandoned;
  }
}

void markHealthy(OwnedTarget &target, MonoTime now) {
  target.Healthy = true;
  target.ConsecutiveFailures = 0;
  target.FailedRequests = false;
  target.RetryDelay = Duration(0);
  // An unhealthy target may have been restarted and needs a warm-up.
  target.WarmUpStart = now;
}

} // namespace

SlotLimit slotLimit(const OwnedTarget &target, Duration warmUp, MonoTime now) {
  if (target.Spec.Draining || target.ReportsDraining ||
      target.Spec.Slots <= 0 || (target.Report && target.Report->Draining))
    return {};
  if (!target.Healthy)
    return now >= target.RetryAt ? SlotLimit{1, true} : SlotLimit{};
  int limit = warmUpLimit(target, warmUp, now);
  if (now < target.ShedUntil)
    limit = std::min(limit, target.ShedLimit);
  if (reportIsCurrent(target, now)) {
    if (target.ReportedLimit <= 0)
      return now >= target.ProbeAt ? SlotLimit{1, true} : SlotLimit{};
    limit = std::min(limit, target.ReportedLimit);
  }
  return {limit, false};
}

int busySlots(const OwnedTarget &target, MonoTime now) {
  int inherited = now < target.InheritedUntil ? target.InheritedBusy : 0;
  return static_cast<int>(target.Grants.size()) + inherited;
}

int freeSlots(const OwnedTarget &target, const SlotLimit &limit, int busy) {
  if (limit.Probe)
    return target.ProbeGrant == 0 && busy < target.Spec.Slots ? 1 : 0;
  return std::max(0, limit.Slots - busy);
}

void recordFailure(OwnedTarget &target, MonoTime now) {
  if (++target.ConsecutiveFailures < FailureLimit || !target.Healthy)
    return;
  target.Healthy = false;
  target.RetryDelay = ProbeDelay;
  target.RetryAt = now + ProbeDelay;
}

void recordProbeResult(OwnedTarget &target, SlotResult result, MonoTime now) {
  target.ProbeGrant = 0;
  if (result == SlotResult::Unused || result == SlotResult::AbandonedBusy)
    return;
  bool succeeded = result == SlotResult::Done;
  // A successful probe allows the next one immediately, so that a target that
  // wrongly reports no slots still serves one request at a time.
  target.ProbeAt = succeeded ? now : now + ProbeDelay;
  if (target.Healthy)
    return;
  if (succeeded) {
    markHealthy(target, now);
    return;
  }
  target.RetryDelay = std::min<Duration>(
      MaxProbeDelay, std::max<Duration>(ProbeDelay, target.RetryDelay) * 2);
  target.RetryAt = now + target.RetryDelay;
}

void applyLoadReport(SlotTable &table, const TargetId &target,
                     const LoadReport &report, MonoTime now) {
  auto found = table.Targets.find(target);
  if (found == table.Targets.end())
    return;
  OwnedTarget &it = found->second;
  LoadReport adjusted = report;
  // A report with a time in the future would supersede all later ones.
  adjusted.MeasuredAt = std::min(adjusted.MeasuredAt, now);
  if (it.Report && adjusted.MeasuredAt < it.Report->MeasuredAt)
    return;
  if (now - adjusted.MeasuredAt > ReportLifetime)
    return;
  bool wasUsable = !reportIsCurrent(it, now) || it.ReportedLimit > 0;
  it.ReportedLimit =
      adjusted.Shedding ? 0 : std::clamp(adjusted.Slots, 0, it.Spec.Slots);
  if (it.ReportedLimit == 0 && wasUsable)
    it.ProbeAt = now + ProbeDelay;
  if (adjusted.MeasuredAt > it.OwnedSince + InTransitTime)
    it.InheritedBusy = std::min(it.InheritedBusy, std::max(0, adjusted.Busy));
  freeAbandonedSlots(it, adjusted);
  it.Report = adjusted;
}

void applyDraining(SlotTable &table, const TargetId &target, bool draining) {
  auto found = table.Targets.find(target);
  if (found != table.Targets.end())
    found->second.ReportsDraining = draining;
}

void applyHealthProbe(SlotTable &table, const TargetId &target, bool healthy,
                      MonoTime now) {
  auto found = table.Targets.find(target);
  if (found == table.Targets.end())
    return;
  OwnedTarget &it = found->second;
  if (!healthy)
    recordFailure(it, now);
  else if (!it.Healthy && !it.FailedRequests)
    markHealthy(it, now);
  else if (it.Healthy && !it.FailedRequests)
    it.ConsecutiveFailures = 0;
}

} // namespace savorylb
