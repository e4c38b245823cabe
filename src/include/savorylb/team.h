#ifndef SAVORYLB_TEAM_H
#define SAVORYLB_TEAM_H

#include "savorylb/ids.h"

#include <cstdint>
#include <vector>

namespace savorylb {

/// One team's limits over the whole fleet.
struct TeamSpec {
  TeamId Name;
  /// Requests a second.
  std::int64_t Rate = 0;
  /// Requests at once after a quiet time.
  std::int64_t Burst = 0;
  /// Weight in the queues where slots are short.
  int Weight = 1;
  /// Regions that serve the team, the home region first.
  std::vector<RegionId> Regions;
  /// Services the team may call.
  std::vector<ServiceId> Services;
};

} // namespace savorylb

#endif // SAVORYLB_TEAM_H
