#ifndef SAVORYLB_REGION_SPEC_H
#define SAVORYLB_REGION_SPEC_H

#include "savorylb/ids.h"

#include <vector>

namespace savorylb {

/// Configuration of a region and its availability zones.
struct RegionSpec {
  RegionId Name;
  std::vector<ZoneId> Zones;
  /// All traffic is moved out of the region.
  bool Draining = false;
};

} // namespace savorylb

#endif // SAVORYLB_REGION_SPEC_H
