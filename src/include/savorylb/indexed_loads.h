#ifndef SAVORYLB_INDEXED_LOADS_H
#define SAVORYLB_INDEXED_LOADS_H

#include "savorylb/published_load.h"

#include <vector>

namespace savorylb {

/// Published slots of the VMs of a region for one service.
struct IndexedLoads {
  /// In the order of IndexedRegion::Vms.
  std::vector<PublishedLoad> OfVms;
  /// There are slots, and none of them is free.
  bool Saturated = false;
};

} // namespace savorylb

#endif // SAVORYLB_INDEXED_LOADS_H
