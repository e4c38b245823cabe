#ifndef SAVORYLB_PLACEMENT_QUERY_H
#define SAVORYLB_PLACEMENT_QUERY_H

#include "savorylb/ids.h"

#include <cstdint>
#include <vector>

namespace savorylb {

/// What a forwarding VM asks for.
struct PlacementQuery {
  VmId Self;
  ZoneId Zone;
  RegionId Region;
  ServiceId Service;
  VersionId Version;
  /// Regions the team may use; empty for all.
  std::vector<RegionId> TeamRegions;
  bool Spill = true;
  /// Two random numbers for the power of two choices.
  std::uint64_t RandomA = 0;
  std::uint64_t RandomB = 0;
};

} // namespace savorylb

#endif // SAVORYLB_PLACEMENT_QUERY_H
