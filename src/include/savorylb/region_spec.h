#ifndef SAVORYLB_REGION_SPEC_H
#define SAVORYLB_REGION_SPEC_H

#include "savorylb/ids.h"

#include <vector>

namespace savorylb {

/// A region and its availability zones.
struct RegionSpec {
  RegionId Name;
  std::vector<ZoneId> Zones;
  /// Operators move all traffic out of a draining region.
  bool Draining = false;
};

} // namespace savorylb

#endif // SAVORYLB_REGION_SPEC_H
