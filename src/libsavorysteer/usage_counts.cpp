#include "usage_counts.h"

namespace savorylb {
namespace {

/// Clocks may differ by some seconds before they are corrected.
constexpr UsageWindow WindowsAhead(2);

template <typename Map> void retainNewest(Map &windows) {
  while (windows.size() > RetainedWindows)
    windows.erase(windows.begin());
}

} // namespace

UsageWindow windowAt(WallTime time, Millis length) {
  return UsageWindow(time.time_since_epoch().count() / length.count());
}

WallTime windowEnd(UsageWindow window, Millis length) {
  return WallTime((window.Value + 1) * length);
}

UsageWindow newestWindow(WallTime now, Millis length) {
  return windowAt(now, length) + WindowsAhead;
}

void countUsage(UsageCounts &counts, const TeamId &team, WallTime begin) {
  UsageWindow window = windowAt(begin, counts.Length);
  bool old = counts.Windows.size() >= RetainedWindows &&
             window < counts.Windows.begin()->first;
  if (team.empty() || old)
    return;
  UsageCounts::Window &it = counts.Windows[window];
  ++it.Counts[team];
  it.ChangedAt = ++counts.Sequence;
  retainNewest(counts.Windows);
}

void uncountUsage(UsageCounts &counts, const TeamId &team, WallTime begin) {
  auto window = counts.Windows.find(windowAt(begin, counts.Length));
  if (window == counts.Windows.end())
    return;
  auto count = window->second.Counts.find(team);
  if (count == window->second.Counts.end() || count->second <= 0)
    return;
  --count->second;
  window->second.ChangedAt = ++counts.Sequence;
}

void forgetLaterWindows(UsageCounts &counts, UsageWindow newest) {
  counts.Windows.erase(counts.Windows.upper_bound(newest),
                       counts.Windows.end());
}

UsageReport makeUsageReport(const UsageCounts &counts, const VmId &vm,
                            const std::string &startId, std::int64_t after) {
  UsageReport report{vm, startId, counts.Sequence, {}};
  for (const auto &[window, it] : counts.Windows)
    if (it.ChangedAt > after)
      report.Windows[window] = it.Counts;
  return report;
}

void applyUsageReport(UsageCollection &collection, const UsageReport &report,
                      UsageWindow newest) {
  for (const auto &[window, counts] : report.Windows) {
    if (window > newest)
      continue;
    UsageCollection::WindowOfStart &known =
        collection.Windows[window][{report.Vm, report.StartId}];
    if (report.Sequence < known.Sequence)
      continue;
    known = {report.Sequence, counts};
  }
  retainNewest(collection.Windows);
}

TeamCounts sumUsage(const UsageCollection &collection, UsageWindow window) {
  TeamCounts sum;
  auto starts = collection.Windows.find(window);
  if (starts == collection.Windows.end())
    return sum;
  for (const auto &[start, known] : starts->second)
    for (const auto &[team, n] : known.Counts)
      if (n > 0)
        sum[team] += n;
  return sum;
}

} // namespace savorylb
