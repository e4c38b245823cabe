#ifndef SAVORYLB_ROUTE_STATISTICS_H
#define SAVORYLB_ROUTE_STATISTICS_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>
#include <string>
#include <vector>

namespace savorylb {

struct SteeredRequest;
struct SteeringState;

/// How a request ended for its caller.
enum class RouteOutcome {
  /// The response of a target.
  Answered,
  /// No target ran the request.
  Refused,
  /// The caller got an error although a target may have run the request.
  Failed,
  /// The caller left.
  Abandoned
};

/// Outcomes of a route's requests at this VM since its last report.
struct RouteStatistics {
  /// Answered within the latency target, and later.
  int InTime = 0;
  int Late = 0;
  /// Others, by outcome and reason, as `refused.overload`.
  std::map<std::string, int> Lost;
  /// Requests that waited in this VM for an unreserved slot.
  int Deferred = 0;
  /// Largest fraction of the slots that was left to more urgent requests.
  double ReservedFraction = 0;
};

/// A route's statistics and the estimates by which its requests were placed.
struct RouteReport {
  RouteId Route;
  ServiceId Service;
  RouteStatistics Statistics;
  /// Estimated processing times in ms; 0 before the first request.
  double CachedMs = 0;
  double UncachedMs = 0;
  /// Mean time in ms for which a request holds a slot of the service.
  double SlotMs = 0;
  /// See OverloadState.
  double Pressure = 0;
};

/// Counts the end of a request.
/// \param reason reason of the outcome; not used for RouteOutcome::Answered.
/// \param took time from the request's arrival to its end.
void countOutcome(SteeringState &state, const SteeredRequest &request,
                  RouteOutcome outcome, const std::string &reason,
                  Duration took);

/// Takes the statistics since the last call.
/// \returns a report for each route and service with requests.
std::vector<RouteReport> takeRouteReports(SteeringState &state);

} // namespace savorylb

#endif // SAVORYLB_ROUTE_STATISTICS_H
