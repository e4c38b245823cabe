#ifndef SAVORYLB_TARGET_STATE_H
#define SAVORYLB_TARGET_STATE_H

#include "target_entry.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace savorylb {

/// What a target said of its load in a response.
struct TargetLoad {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
};

/// What this VM knows of one target.
struct TargetState {
  TargetEntry Entry;
  RegionId Region;
  /// Requests of this VM without a response, by start time.
  std::deque<MonoTime> InFlight;
  /// Requests of other VMs at the target, at ReportedAt and smoothed.
  double OthersLast = 0;
  double OthersMean = 0;
  /// Part of one report in OthersMean.
  double OthersWeight = 0.1;
  MonoTime ReportedAt{};
  Duration ReportMemory = Millis(300);
  /// Response time relative to the mean of its service, smoothed.
  double Slowness = 1;
  /// Part of the requests that failed or were shed, smoothed.
  double FailureRate = 0;
  MonoTime ResultAt{};
  /// Cold until then.
  MonoTime ColdUntil{};
  /// Unreachable; unused until SuspendedUntil, then tried with one request.
  bool Suspended = false;
  MonoTime SuspendedUntil{};
  Duration Suspension{0};
  /// Requests that a cold target may still get from this VM.
  double WarmupTokens = 0;
  MonoTime WarmupTokensAt{};
  /// Objects that the target handled for this VM, and when.
  std::unordered_map<std::string, MonoTime> Objects;
};

/// Notes that the target has handled an object.
void noteObject(TargetState &target, const std::string &object, MonoTime now);

/// How a request to a target ended.
enum class TargetResult { Answered, Failed, Shed, Unreachable };

/// Time in which the weight of an earlier result falls to a third.
constexpr Duration ResultMemory = Millis(4000);
/// Time in which a load report gives way to the mean of earlier ones, for each
/// VM, since each hears from a target the less often the more VMs there are;
/// and its bounds. With 10 VMs a longer memory refuses requests for queues
/// that have ended.
constexpr Duration ReportMemoryPerVm = Millis(30);
constexpr Duration MinReportMemory = Millis(300);
constexpr Duration MaxReportMemory = Millis(1500);

/// Sets the memory of load reports from the number of VMs.
void setReportMemory(TargetState &target, int vms);

/// Part of one result in the smoothed failure rate and slowness.
constexpr double ResultWeight = 0.2;

/// How long an unreachable target is left alone at first and at most. A target
/// that has started again says so within the first time, and may be cold.
constexpr Duration FirstSuspension = Millis(2500);
constexpr Duration MaxSuspension = Millis(10000);

/// \returns whether the target must not be used because it was unreachable.
bool isSuspended(const TargetState &target, MonoTime now);

/// Takes in a load report of a response.
/// \param target the target, with the reported request still in flight.
/// \param load the report.
/// \param now the current time.
void noteLoad(TargetState &target, const TargetLoad &load, MonoTime now);

/// Takes in the end of a request.
/// \param target the target.
/// \param result how the request ended.
/// \param relative response time relative to the expected one; below 0 when
///        there is none.
/// \param now the current time.
void noteResult(TargetState &target, TargetResult result, double relative,
                MonoTime now);

/// Takes in a newer entry of the same target.
/// \param target the target.
/// \param entry the newer entry.
/// \param now the current time.
void noteEntry(TargetState &target, const TargetEntry &entry, MonoTime now);

/// \returns the expected number of requests at the target, of all VMs.
double expectedRequests(const TargetState &target, MonoTime now);

/// \returns the failure rate, which falls while nothing is sent.
double currentFailureRate(const TargetState &target, MonoTime now);

/// \returns the slowness, which nears 1 while nothing is sent.
double currentSlowness(const TargetState &target, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_TARGET_STATE_H
