#ifndef SAVORYLB_STANDINS_TARGET_COUNTS_H
#define SAVORYLB_STANDINS_TARGET_COUNTS_H

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>

namespace savorylb::standin {

/// Request counts of a target; guarded by the target's lock.
struct TargetCounts {
  /// Counters by name: requests, executed, shed, failed, ... Among them:
  /// - keys_seen: requests with an X-Tenant-Key header or a forbidden value.
  /// - crossed: responses swapped with that of another request.
  /// - once_on_silent: requests with an idempotency key on a silenced
  ///   connection that was accepted more than a second ago.
  /// - left_queue: requests whose sender disconnected during the slot wait.
  /// - late_in_queue: requests whose deadline passed during the slot wait.
  /// - left_late: requests whose sender disconnected while the injected delay
  ///   held back the response.
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
