#ifndef SAVORYLB_TEAM_H
#define SAVORYLB_TEAM_H

#include "savorylb/ids.h"

#include <cstdint>
#include <vector>

namespace savorylb {

/// Limits of a team over the whole fleet.
struct TeamSpec {
  TeamId Name;
  /// Requests per second.
  std::int64_t Rate = 0;
  /// Requests allowed at once after an idle period.
  std::int64_t Burst = 0;
  /// Weight in the fair queues when slots are scarce.
  int Weight = 1;
  /// Regions that serve the team; the first is its home region.
  std::vector<RegionId> Regions;
  /// Services the team may call.
  std::vector<ServiceId> Services;
};

} // namespace savorylb

#endif // SAVORYLB_TEAM_H
