#ifndef SAVORYLB_STANDINS_STREAM_PLAN_H
#define SAVORYLB_STANDINS_STREAM_PLAN_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace savorylb::standin {

/// The traffic of one team to one service.
struct StreamPlan {
  std::string Team;
  std::string Service;
  /// Tenant key, or "" to send none.
  std::string Key;
  /// Mean number of arrivals per second; interarrival times are exponential.
  double Rate = 0;
  std::string Method = "GET";
  std::string Path = "/";
  std::size_t BodyBytes = 0;
  std::int64_t DeadlineMs = 1000;
  /// Share of at-most-once requests that are sent a second time with the same
  /// identity, in parts per million.
  std::int64_t RepeatPpm = 0;
  bool AtMostOnce = false;
  /// Client address in lookups, or "".
  std::string Client;

  /// \returns whether a request may be retried after an attempt without a
  /// response.
  bool isRetryable() const {
    return AtMostOnce || Method == "GET" || Method == "HEAD" ||
           Method == "PUT" || Method == "DELETE";
  }
};

/// Throws a Poco exception when the file cannot be read or is not a valid plan.
std::vector<StreamPlan> readPlan(const std::string &file);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_STREAM_PLAN_H
