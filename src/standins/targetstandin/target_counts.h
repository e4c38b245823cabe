#ifndef SAVORYLB_STANDINS_TARGET_COUNTS_H
#define SAVORYLB_STANDINS_TARGET_COUNTS_H

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>

namespace savorylb::standin {

/// What one target has seen. Guarded by its target's lock.
struct TargetCounts {
  /// Numbers by name: requests, executed, shed, failed, ...
  std::map<std::string, std::uint64_t> Numbers;
  /// Requests by version and second of the epoch.
  std::map<std::string, std::map<std::int64_t, std::uint64_t>> Versions;
};

/// Adds the counts of one target to others.
void addCounts(TargetCounts &sum, const TargetCounts &it);

/// \returns the counts as JSON.
Json::Value countsJson(const TargetCounts &it);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_TARGET_COUNTS_H
