#ifndef SAVORYLB_STANDINS_TARGET_COUNTS_H
#define SAVORYLB_STANDINS_TARGET_COUNTS_H

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>

namespace savorylb::standin {

/// Request counts of a target; guarded by the target's lock.
struct TargetCounts {
  /// Counters by name: requests, executed, shed, failed, ...
  std::map<std::string, std::uint64_t> Counters;
  /// Number of requests by version and Unix time in seconds.
  std::map<std::string, std::map<std::int64_t, std::uint64_t>>
      RequestsByVersion;
};

/// Adds the counts of a target to \p sum. `highest_concurrency` becomes the
/// maximum instead.
void addCounts(TargetCounts &sum, const TargetCounts &it);

/// \returns the counters as members, and `versions` with the requests of each
/// version by second.
Json::Value countsJson(const TargetCounts &it);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_TARGET_COUNTS_H
