#ifndef SAVORYLB_TARGET_STATE_H
#define SAVORYLB_TARGET_STATE_H

#include "target_entry.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace savorylb {

/// Load that a target reports in a response.
struct TargetLoad {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
  /// Slowness of the target's machine at this moment in percent, 100 as usual;
  /// 0 if the target sends none.
  int MachineSlowness = 0;
};

/// The load that this VM itself last read from a target's response.
struct OwnReading {
  int Requests = 0;
  int MachineSlowness = 0;
  MonoTime At{};
  /// The reading was passed on to other VMs, or there is none.
  bool Reported = true;
};

/// What a target told about its use in responses, valid for one process start.
struct TargetNotices {
  /// The target is shutting down.
  bool Leaving = false;
  /// End of the time for which the target wants no requests from this VM.
  MonoTime PausedUntil{};
};

/// This VM's state for one target.
struct TargetState {
  TargetEntry Entry;
  RegionId Region;
  TargetNotices Notices;
  /// Send times of this VM's requests that are still unanswered.
  std::deque<MonoTime> InFlight;
  /// Requests of other VMs at the target according to the last load report.
  double OthersReported = 0;
  /// The same, smoothed over several reports.
  double OthersMean = 0;
  /// Weight of one report in OthersMean.
  double OthersWeight = 0.1;
  MonoTime ReportedAt{};
  /// Time constant with which OthersReported decays to OthersMean.
  Duration ReportTimeConstant = Millis(300);
  /// For the VMs of the zone, if they share the loads of targets.
  OwnReading LastOwnReading;
  /// Factor by which work on the target's machine took longer at ReportedAt.
  double MachineSlowness = 1;
  /// Smoothed ratio of the response time to the time expected when the request
  /// was sent. A response counts with at least 1 if the execution may have been
  /// uncached.
  double Slowness = 1;
  /// Fraction of the requests that failed or were shed, smoothed.
  double FailureRate = 0;
  MonoTime ResultAt{};
  /// End of the warm-up.
  MonoTime ColdUntil{};
  /// The target was unreachable. It is not used until SuspendedUntil, then
  /// tried with a single request.
  bool Suspended = false;
  MonoTime SuspendedUntil{};
  /// Length of the current suspension; doubles with each further one.
  Duration Suspension{0};
  /// Token bucket for this VM's requests to the target during its warm-up.
  double WarmupTokens = 0;
  MonoTime WarmupTokensAt{};
  /// Objects that the target handled for this VM, with the time of the last
  /// use.
  std::unordered_map<std::string, MonoTime> Objects;
};

/// Records that the target has handled an object.
void recordObject(TargetState &target, const std::string &object, MonoTime now);

/// How a request to a target ended.
enum class TargetResult {
  /// Response with a status below 500.
  Answered,
  /// Status of 500 or above, no valid response, or the deadline passed.
  Failed,
  /// The target declared that it did not run the request.
  Shed,
  /// No connection, or status 421: the address belongs to another target.
  Unreachable
};

/// Time constant with which failure rate and slowness decay.
constexpr Duration ResultTimeConstant = Millis(4000);
/// Time constant per VM with which a load report decays to the mean of earlier
/// reports, and its bounds. It grows with the number of VMs because each VM
/// then receives fewer reports of a target. With 10 VMs a longer time constant
/// causes refusals because of queues that no longer exist.
constexpr Duration ReportTimeConstantPerVm = Millis(30);
constexpr Duration MinReportTimeConstant = Millis(300);
constexpr Duration MaxReportTimeConstant = Millis(1500);

/// Time constant with which a shared load decays to the mean. Requests of the
/// services that share loads run for 0.2 s or longer; a queue of a few requests
/// for each slot has drained after about that time.
constexpr Duration SharedLoadTimeConstant = Millis(400);
/// Time constant of the mean of shared loads.
constexpr Duration SharedMeanTimeConstant = Millis(2000);
/// Time constant with which a machine's slowness is forgotten. It changes many
/// times a second, and a request that is sent now runs for 0.2 s or longer.
constexpr Duration MachineSlownessTimeConstant = Millis(400);

/// Sets the smoothing of load reports according to the number of VMs.
void setReportSmoothing(TargetState &target, int vms);

/// Weight of one result in the smoothed failure rate and slowness.
constexpr double ResultWeight = 0.2;

/// First and maximum suspension of an unreachable target. A restarted target
/// updates its entry within the first suspension, and may be cold.
constexpr Duration FirstSuspension = Millis(2500);
constexpr Duration MaxSuspension = Millis(10000);

/// \returns whether the target must not be used because it was unreachable, or
///          because the request that probes it is in flight.
bool isSuspended(const TargetState &target, MonoTime now);

/// Records the load report of a response.
/// \param target the target, with the answered request still in InFlight.
void recordLoad(TargetState &target, const TargetLoad &load, MonoTime now);

/// Records the load report of a response while VMs share the loads of targets.
/// \param target the target, with the answered request still in InFlight.
void recordOwnLoad(TargetState &target, const TargetLoad &load, MonoTime now);

/// Records a load that this VM or another one read from a target's response,
/// unless a newer one is known.
/// \param requests requests at the target, of all VMs.
/// \param machineSlowness in percent; 0 if the target sends none.
/// \param at when the response arrived.
void recordSharedLoad(TargetState &target, int requests, int machineSlowness,
                      MonoTime at);

/// \returns the factor by which work on the target's machine takes longer now,
///          as far as shared loads tell; decays to 1.
double machineSlowness(const TargetState &target, MonoTime now);

/// Records the result of a request.
/// \param relative ratio of the response time to the expected one; below 0 if
///        there is none.
void recordResult(TargetState &target, TargetResult result, double relative,
                  MonoTime now);

/// Replaces the target's entry; the caller passes entries in order. A changed
/// StartId or address counts as a restart, which resets the failure rate,
/// slowness, load of other VMs, cached objects, suspension and notices.
void updateEntry(TargetState &target, const TargetEntry &entry, MonoTime now);

/// \returns the expected number of requests at the target, over all VMs.
double expectedRequests(const TargetState &target, MonoTime now);

/// \returns the failure rate, which decays to 0 while nothing is sent.
double currentFailureRate(const TargetState &target, MonoTime now);

/// \returns the slowness, which decays to 1 while nothing is sent.
double currentSlowness(const TargetState &target, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_TARGET_STATE_H
