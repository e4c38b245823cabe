#ifndef SAVORYLB_USAGE_COUNTS_H
#define SAVORYLB_USAGE_COUNTS_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>
#include <string>

namespace savorylb {

/// Number of a reporting window; window k begins k times the window's length
/// after the start of 1970.
using UsageWindow = Quantity<struct UsageWindowTag>;

/// Requests of each team.
using TeamCounts = std::map<TeamId, std::int64_t>;

/// \returns the window that contains a time.
/// \param length length of a window, more than 0.
UsageWindow windowAt(WallTime time, Millis length);

/// \returns the end of a window.
WallTime windowEnd(UsageWindow window, Millis length);

/// \returns the last window that is counted at a time. VMs whose clocks have
/// not
///          been corrected yet report windows a little ahead.
UsageWindow newestWindow(WallTime now, Millis length);

/// Requests that this VM's targets began to run, by the window in which they
/// began.
struct UsageCounts {
  Millis Length{5000};
  struct Window {
    TeamCounts Counts;
    /// UsageCounts::Sequence at the last change.
    std::int64_t ChangedAt = 0;
  };
  std::map<UsageWindow, Window> Windows;
  /// Number of changes so far.
  std::int64_t Sequence = 0;
};

/// Windows that a VM keeps. A new holder of the duty can still settle them.
constexpr std::size_t RetainedWindows = 6;

/// Counts a request that a target presumably begins to run at a time. Forgets
/// the oldest window when there are more than RetainedWindows.
void countUsage(UsageCounts &counts, const TeamId &team, WallTime begin);

/// Takes back a request that was counted, because the target did not run it.
/// \param begin the time with which it was counted.
void uncountUsage(UsageCounts &counts, const TeamId &team, WallTime begin);

/// Forgets windows after the newest one, which were counted before the clock
/// was set back. They would displace the windows to come.
void forgetLaterWindows(UsageCounts &counts, UsageWindow newest);

/// A VM's counts of some windows. The counts are absolute, so a lost or
/// repeated report does no harm.
struct UsageReport {
  VmId Vm;
  /// Distinguishes the process starts of one VM, each of which counts from 0.
  std::string StartId;
  /// Sequence number of the counts.
  std::int64_t Sequence = 0;
  std::map<UsageWindow, TeamCounts> Windows;
};

/// \param after sequence number of the last report to the same holder; 0 for
///        all windows.
/// \returns the windows that have changed since.
UsageReport makeUsageReport(const UsageCounts &counts, const VmId &vm,
                            const std::string &startId, std::int64_t after);

/// The counts of all VMs, as far as the holder of the duty knows them.
struct UsageCollection {
  struct WindowOfStart {
    std::int64_t Sequence = 0;
    TeamCounts Counts;
  };
  /// By VM and process start: a VM that starts again counts from 0, and what
  /// its earlier process counted still holds.
  std::map<UsageWindow, std::map<std::pair<VmId, std::string>, WindowOfStart>>
      Windows;
};

/// Applies a VM's report; windows that a newer report covered are not changed.
/// Forgets the oldest window when there are more than RetainedWindows.
/// \param newest last window to accept, so that a VM whose clock is ahead does
///        not displace the windows of the others.
void applyUsageReport(UsageCollection &collection, const UsageReport &report,
                      UsageWindow newest);

/// \returns the requests of each team in a window, over all VMs.
TeamCounts sumUsage(const UsageCollection &collection, UsageWindow window);

} // namespace savorylb

#endif // SAVORYLB_USAGE_COUNTS_H
