#ifndef SAVORYLB_INDEXED_REGION_H
#define SAVORYLB_INDEXED_REGION_H

#include "savorylb/ids.h"
#include "savorylb/indexed_loads.h"
#include "savorylb/indexed_vm.h"

#include <cstddef>
#include <map>
#include <vector>

namespace savorylb {

/// The VMs of one region; draining regions are used last.
struct IndexedRegion {
  RegionId Name;
  bool Draining = false;
  /// VMs that take new callers come first, in the order of their hashes.
  std::vector<IndexedVm> Vms;
  /// Number of VMs that take new callers.
  std::size_t Usable = 0;
  std::map<ServiceId, IndexedLoads> Loads;
};

} // namespace savorylb

#endif // SAVORYLB_INDEXED_REGION_H
