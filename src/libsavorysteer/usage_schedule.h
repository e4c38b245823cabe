#ifndef SAVORYLB_USAGE_SCHEDULE_H
#define SAVORYLB_USAGE_SCHEDULE_H

#include "savorylb/store_position.h"
#include "usage_counts.h"

#include <optional>
#include <random>

namespace savorylb {

/// A window whose counts are fixed: every report of it has these counts.
struct SettledWindow {
  TeamCounts Counts;
  /// The platform has accepted the report.
  bool Accepted = false;
};

/// What the holders of the duty have settled; kept in the store.
struct UsageRecord {
  /// Era of the store in which the record was written.
  StoreEra Era;
  std::map<UsageWindow, SettledWindow> Windows;
};

/// Windows that the record keeps.
constexpr std::size_t RecordedWindows = 12;
/// Time after the end of a window at which its counts are settled. Each VM has
/// then reported its last requests of the window at least twice.
constexpr Duration SettleDelay = Millis(3000);

/// Time after a claim before which a new holder settles nothing. The watch of a
/// VM shows it the claim within 2.1 s, and it sends its counts each second.
constexpr Duration CollectionDelay = Millis(3300);

/// The holder's progress with the reports.
struct UsageSchedule {
  Millis Length{5000};
  /// Time after the end of a window within which its report is due.
  Millis Due{10000};
  /// The record as the store holds it; empty until it was read.
  std::optional<UsageRecord> Record;
  /// First window that this holder may settle.
  UsageWindow FirstOwn;
  /// The VMs have sent their counts to this holder from this time on.
  MonoTime SettleFrom{};
  /// Consecutive calls that were refused or not answered.
  int Failures = 0;
  MonoTime NextCallAt{};
};

/// The next step of the holder.
struct UsageStep {
  enum class Kind {
    /// Nothing is due.
    None,
    /// Write the record with this window to the store.
    Settle,
    /// Send the report of this window to the platform.
    Send
  };
  Kind What = Kind::None;
  UsageWindow Window;
  TeamCounts Counts;
  /// Windows before this one that nobody settled and whose counts the VMs have
  /// forgotten. They are not reported, rather than with wrong counts.
  std::int64_t Skipped = 0;
};

/// Starts with the record that the store holds.
///
/// Continues behind a record that was written in the present era. After the
/// store came back from an older copy, the record may lack windows that were
/// sent with counts that nobody knows any more. Holders of the older era cannot
/// have settled a window that ended later than the new era was first seen.
/// \param record nothing if the store has none.
/// \param era the store's present era.
/// \param eraSeen when this process first saw that era.
void startSchedule(UsageSchedule &schedule,
                   const std::optional<UsageRecord> &record, StoreEra era,
                   WallTime eraSeen);

/// Chooses the next step. Settled windows that were not accepted come first, in
/// their order.
/// \param time the corrected wall clock.
UsageStep nextUsageStep(const UsageSchedule &schedule,
                        const UsageCollection &collection, WallTime time,
                        MonoTime now);

/// \returns the record with one more settled window, without the oldest windows
///          beyond RecordedWindows.
UsageRecord withWindow(const UsageRecord &record, UsageWindow window,
                       const TeamCounts &counts);

/// How the platform answered a report.
enum class UsageAnswer {
  Accepted,
  /// A higher token was seen.
  TokenRefused,
  /// Too many calls, or not now.
  Refused,
  /// No valid answer: the call may be executed later.
  Unknown
};

/// Records the answer to a report. After a failure the same report is sent
/// again, after a time that doubles up to a bound and varies randomly.
/// \param perSecond calls that the platform accepts from all VMs.
void recordUsageAnswer(UsageSchedule &schedule, UsageWindow window,
                       UsageAnswer answer, double perSecond,
                       std::minstd_rand &random, MonoTime now);

/// \returns whether a report of the window that is accepted now is late.
bool isLate(const UsageSchedule &schedule, UsageWindow window, WallTime time);

} // namespace savorylb

#endif // SAVORYLB_USAGE_SCHEDULE_H
