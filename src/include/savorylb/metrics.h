#ifndef SAVORYLB_METRICS_H
#define SAVORYLB_METRICS_H

#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// Counts one finished request.
/// \param team the team, empty if unknown.
/// \param region region of this VM.
/// \param outcome `done`, `not-run` or `unknown`.
/// \param reason reason of the outcome, empty for `done`.
/// \param total time from the request's arrival to its end.
/// \param added part of the total that was not spent waiting for the target.
void recordRequest(const std::string &team, const std::string &service,
                   const std::string &region, const std::string &outcome,
                   const std::string &reason, Duration total, Duration added);

/// Counts ended requests of a route, as `route_requests`.
/// \param outcome outcome and reason, as `refused.overload`.
void recordRouteRequests(const std::string &route, const std::string &outcome,
                         std::int64_t n);

/// Records the time that one request spent in a stage.
/// \param stage `body`, `admit`, `once`, `place`, `target` or `finish`.
void recordStageTime(const std::string &stage, Duration took);

/// Adds n to a named counter.
/// \param name name of the counter without the `savorylb_` prefix.
void incrementCounter(const std::string &name, std::int64_t n = 1);

/// Kinds of calls to the platform's metadata store.
enum class StoreCall { List, Watch, Renewal, Lease, Write };

/// Counts one call to the store, as `store_calls_KIND`.
void recordStoreCall(StoreCall kind);

/// Kinds of traffic between availability zones.
enum class ZoneTraffic {
  /// Requests sent to targets, and their responses.
  Request,
  Response,
  /// Changes from a followed VM.
  Documents,
  /// Reports sent to other VMs.
  Report,
  /// Documents fetched from another VM while the store does not answer, or
  /// after that VM reported newer ones.
  CatchUp
};

/// Adds bytes that were sent to, or received from, another zone, as
/// `zone_bytes_KIND`.
void recordZoneTraffic(ZoneTraffic kind, std::size_t bytes);

/// \returns the value of a named counter.
std::int64_t counterValue(const std::string &name);

/// Sets a named gauge.
void setGauge(const std::string &name, double value);

/// \returns all metrics in the Prometheus text format.
std::string renderMetrics();

} // namespace savorylb

#endif // SAVORYLB_METRICS_H
