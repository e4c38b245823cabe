#include "usage_schedule.h"

#include <algorithm>

namespace savorylb {
namespace {

/// First and longest pause after a call that failed.
constexpr Duration FirstBackoff = Millis(200);
constexpr Duration MaxBackoff = Millis(3000);
constexpr int MaxDoublings = 5;
/// Part of the calls of all VMs that the holder uses at most.
constexpr double CallFraction = 0.5;

UsageWindow next(UsageWindow window) { return window + UsageWindow(1); }

/// \returns the window after the last one that is settled, or the first that
///          this holder may settle.
UsageWindow nextToSettle(const UsageSchedule &schedule) {
  const auto &windows = schedule.Record->Windows;
  return windows.empty()
             ? schedule.FirstOwn
             : std::max(schedule.FirstOwn, next(windows.rbegin()->first));
}

} // namespace

void startSchedule(UsageSchedule &schedule,
                   const std::optional<UsageRecord> &record, StoreEra era,
                   WallTime eraSeen) {
  bool continues = record && record->Era == era && !record->Windows.empty();
  schedule.Record = record.value_or(UsageRecord());
  schedule.Record->Era = era;
  schedule.FirstOwn =
      continues ? UsageWindow() : windowAt(eraSeen, schedule.Length);
}

UsageStep nextUsageStep(const UsageSchedule &schedule,
                        const UsageCollection &collection, WallTime time,
                        MonoTime now) {
  UsageStep step;
  if (!schedule.Record)
    return step;
  for (const auto &[window, settled] : schedule.Record->Windows) {
    if (settled.Accepted)
      continue;
    // The calls keep their order, so a later window waits as well.
    if (now >= schedule.NextCallAt)
      step = {UsageStep::Kind::Send, window, settled.Counts, 0};
    break;
  }
  if (step.What != UsageStep::Kind::None || now < schedule.SettleFrom)
    return step;
  UsageWindow first = nextToSettle(schedule);
  UsageWindow window = std::max(first, windowAt(time, schedule.Length) -
                                           UsageWindow(RetainedWindows - 1));
  if (windowEnd(window, schedule.Length) +
          std::chrono::duration_cast<Millis>(SettleDelay) <=
      time)
    step = {UsageStep::Kind::Settle, window, sumUsage(collection, window),
            (window - first).Value};
  return step;
}

UsageRecord withWindow(const UsageRecord &record, UsageWindow window,
                       const TeamCounts &counts) {
  UsageRecord changed = record;
  changed.Windows[window] = {counts, false};
  while (changed.Windows.size() > RecordedWindows)
    changed.Windows.erase(changed.Windows.begin());
  return changed;
}

void recordUsageAnswer(UsageSchedule &schedule, UsageWindow window,
                       UsageAnswer answer, double perSecond,
                       std::minstd_rand &random, MonoTime now) {
  Duration spacing(static_cast<Duration::rep>(
      1e6 / std::max(0.1, CallFraction * perSecond)));
  if (answer == UsageAnswer::Accepted) {
    schedule.Failures = 0;
    schedule.NextCallAt = now + spacing;
    auto settled = schedule.Record->Windows.find(window);
    if (settled != schedule.Record->Windows.end())
      settled->second.Accepted = true;
    return;
  }
  auto longest =
      std::min(Duration(MaxBackoff),
               FirstBackoff * (1 << std::min(schedule.Failures, MaxDoublings)));
  std::uniform_int_distribution<Duration::rep> pause(longest.count() / 2,
                                                     longest.count());
  ++schedule.Failures;
  schedule.NextCallAt = now + std::max(spacing, Duration(pause(random)));
}

bool isLate(const UsageSchedule &schedule, UsageWindow window, WallTime time) {
  return windowEnd(window, schedule.Length) + schedule.Due < time;
}

} // namespace savorylb
