#ifndef SAVORYLB_INDEXED_LOADS_H
#define SAVORYLB_INDEXED_LOADS_H

#include "savorylb/published_load.h"

#include <vector>

namespace savorylb {

/// Published slots for one service on the VMs of a region.
struct IndexedLoads {
  /// Parallel to IndexedRegion::Vms.
  std::vector<PublishedLoad> PerVm;
  /// The region has slots for the service, but none is free.
  bool Saturated = false;
};

} // namespace savorylb

#endif // SAVORYLB_INDEXED_LOADS_H
