#include "slot_limit.h"

#include <algorithm>

namespace savorylb {

namespace {

/// \returns whether the newest report still says something about the target.
bool reportCounts(const OwnedTarget &target, MonoTime now) {
  return target.Report && now - target.Report->MeasuredAt <= ReportLifetime;
}

int warmLimit(const OwnedTarget &target, Duration warmUp, MonoTime now) {
  Duration warm = now - target.WarmUpStart;
  if (warm >= warmUp)
    return target.Spec.Slots;
  auto more = (target.Spec.Slots - 1) * std::max(warm, Duration(0)) / warmUp;
  return std::min<int>(target.Spec.Slots, 1 + static_cast<int>(more));
}

/// Frees slots of released requests when fewer than those run at all. Requests
/// that were left just before the report may not have arrived by then.
void freeLeft(OwnedTarget &target, const LoadReport &report) {
  int left = 0;
  for (const auto &[number, since] : target.ReleasedWhileBusy)
    if (report.MeasuredAt > since + InheritedSettle)
      ++left;
  for (auto it = target.ReleasedWhileBusy.begin();
       it != target.ReleasedWhileBusy.end() &&
       left > std::max(0, report.Busy);) {
    if (report.MeasuredAt <= it->second + InheritedSettle) {
      ++it;
      continue;
    }
    target.Grants.erase(it->first);
    it = target.ReleasedWhileBusy.erase(it);
    --left;
  }
}

void restore(OwnedTarget &target, MonoTime now) {
  target.Healthy = true;
  target.ConsecutiveFailures = 0;
  target.FailedRequests = false;
  target.RetryDelay = Duration(0);
  // A target that was out may have restarted cold.
  target.WarmUpStart = now;
}

} // namespace

SlotLimit slotLimit(const OwnedTarget &target, Duration warmUp, MonoTime now) {
  if (target.Spec.Draining || target.ReportsDraining ||
      target.Spec.Slots <= 0 || (target.Report && target.Report->Draining))
    return {};
  if (!target.Healthy)
    return now >= target.RetryAt ? SlotLimit{1, true} : SlotLimit{};
  int limit = warmLimit(target, warmUp, now);
  if (now < target.ShedUntil)
    limit = std::min(limit, target.ShedLimit);
  if (reportCounts(target, now)) {
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

void countFailure(OwnedTarget &target, MonoTime now) {
  if (++target.ConsecutiveFailures < FailureLimit || !target.Healthy)
    return;
  target.Healthy = false;
  target.RetryDelay = ProbeDelay;
  target.RetryAt = now + ProbeDelay;
}

void endProbe(OwnedTarget &target, SlotResult result, MonoTime now) {
  target.ProbeGrant = 0;
  if (result == SlotResult::Unused || result == SlotResult::LeftBusy)
    return;
  bool good = result == SlotResult::Done;
  // Each answered probe lets the next one through at once: a target whose
  // reports wrongly say that it has no slots keeps one busy.
  target.ProbeAt = good ? now : now + ProbeDelay;
  if (target.Healthy)
    return;
  if (good) {
    restore(target, now);
    return;
  }
  target.RetryDelay = std::min<Duration>(
      LongestProbeDelay, std::max<Duration>(ProbeDelay, target.RetryDelay) * 2);
  target.RetryAt = now + target.RetryDelay;
}

void applyLoadReport(SlotTable &table, const TargetId &target,
                     const LoadReport &report, MonoTime now) {
  auto found = table.Targets.find(target);
  if (found == table.Targets.end())
    return;
  OwnedTarget &it = found->second;
  LoadReport used = report;
  // A report from the future would keep all later ones out.
  used.MeasuredAt = std::min(used.MeasuredAt, now);
  if (it.Report && used.MeasuredAt < it.Report->MeasuredAt)
    return;
  if (now - used.MeasuredAt > ReportLifetime)
    return;
  bool open = !reportCounts(it, now) || it.ReportedLimit > 0;
  it.ReportedLimit =
      used.Shedding ? 0 : std::clamp(used.Slots, 0, it.Spec.Slots);
  if (it.ReportedLimit == 0 && open)
    it.ProbeAt = now + ProbeDelay;
  if (used.MeasuredAt > it.OwnedSince + InheritedSettle)
    it.InheritedBusy = std::min(it.InheritedBusy, std::max(0, used.Busy));
  freeLeft(it, used);
  it.Report = used;
}

void applyDraining(SlotTable &table, const TargetId &target, bool draining) {
  auto found = table.Targets.find(target);
  if (found != table.Targets.end())
    found->second.ReportsDraining = draining;
}

void applyHealth(SlotTable &table, const TargetId &target, bool healthy,
                 MonoTime now) {
  auto found = table.Targets.find(target);
  if (found == table.Targets.end())
    return;
  OwnedTarget &it = found->second;
  if (!healthy)
    countFailure(it, now);
  else if (!it.Healthy && !it.FailedRequests)
    restore(it, now);
  else if (it.Healthy && !it.FailedRequests)
    it.ConsecutiveFailures = 0;
}

} // namespace savorylb
