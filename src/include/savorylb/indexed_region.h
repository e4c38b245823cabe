#ifndef SAVORYLB_INDEXED_REGION_H
#define SAVORYLB_INDEXED_REGION_H

#include "savorylb/ids.h"
#include "savorylb/indexed_vm.h"
#include "savorylb/published_load.h"

#include <map>
#include <vector>

namespace savorylb {

/// The VMs of one region; draining regions are used last.
struct IndexedRegion {
  RegionId Name;
  bool Draining = false;
  std::vector<IndexedVm> Vms;
  /// Published slots by service, in the order of Vms.
  std::map<ServiceId, std::vector<PublishedLoad>> Loads;
};

} // namespace savorylb

#endif // SAVORYLB_INDEXED_REGION_H
