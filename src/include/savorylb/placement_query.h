#ifndef SAVORYLB_PLACEMENT_QUERY_H
#define SAVORYLB_PLACEMENT_QUERY_H

#include "savorylb/ids.h"

#include <cstdint>
#include <vector>

namespace savorylb {

/// The parameters with which a forwarding VM searches for a slot.
struct PlacementQuery {
  VmId Self;
  ZoneId Zone;
  RegionId Region;
  ServiceId Service;
  /// The wanted version; empty for all versions.
  VersionId Version;
  /// Regions that the team may use; empty for all.
  std::vector<RegionId> TeamRegions;
  /// Whether the request may be sent to another region.
  bool Spill = true;
  /// Two random numbers for the power of two choices.
  std::uint64_t RandomA = 0;
  std::uint64_t RandomB = 0;
};

} // namespace savorylb

#endif // SAVORYLB_PLACEMENT_QUERY_H
