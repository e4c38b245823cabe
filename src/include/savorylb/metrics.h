#ifndef SAVORYLB_METRICS_H
#define SAVORYLB_METRICS_H

#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// Counts one finished request.
/// \param team the team, empty when unknown.
/// \param service the service.
/// \param region this VM's region.
/// \param outcome `done`, `not-run` or `unknown`.
/// \param reason why, empty for done.
/// \param total time from the request's arrival to its end.
/// \param added part of it that was not spent waiting for the target.
void countRequest(const std::string &team, const std::string &service,
                  const std::string &region, const std::string &outcome,
                  const std::string &reason, Duration total, Duration added);

/// Counts the time that one request spent in a stage.
/// \param stage `body`, `admit`, `once`, `place`, `target` or `finish`.
/// \param took time spent there.
void countStage(const std::string &stage, Duration took);

/// Adds to a named counter.
/// \param name counter without the `savorylb_` prefix.
void countEvent(const std::string &name, std::int64_t n = 1);

/// \returns the value of a named counter.
std::int64_t eventCount(const std::string &name);

/// Sets a named gauge.
void setGauge(const std::string &name, double value);

/// \returns all metrics in the Prometheus text format.
std::string renderMetrics();

} // namespace savorylb

#endif // SAVORYLB_METRICS_H
