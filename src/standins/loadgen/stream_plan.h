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
  /// Arrivals a second, exponential gaps.
  double Rate = 0;
  std::string Method = "GET";
  std::string Path = "/";
  std::size_t BodyBytes = 0;
  std::int64_t DeadlineMs = 1000;
  /// Share of at-most-once requests that are sent again on purpose.
  std::int64_t RepeatPpm = 0;
  bool AtMostOnce = false;
  /// Client address named in lookups, or "".
  std::string Client;

  /// \returns whether a request may be sent again when its fate is uncertain.
  bool repeatable() const {
    return AtMostOnce || Method == "GET" || Method == "HEAD" ||
           Method == "PUT" || Method == "DELETE";
  }
};

/// Reads a plan. Throws a Poco exception when it is bad.
std::vector<StreamPlan> readPlan(const std::string &file);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_STREAM_PLAN_H
