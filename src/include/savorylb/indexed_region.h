#ifndef SAVORYLB_INDEXED_REGION_H
#define SAVORYLB_INDEXED_REGION_H

#include "savorylb/ids.h"
#include "savorylb/indexed_loads.h"
#include "savorylb/indexed_vm.h"

#include <cstddef>
#include <map>
#include <vector>

namespace savorylb {

/// The VMs of one region. Draining regions are used last.
struct IndexedRegion {
  RegionId Name;
  bool Draining = false;
  /// VMs that accept new callers come first; both groups are sorted by the hash
  /// of the VM's name.
  std::vector<IndexedVm> Vms;
  /// Number of VMs that accept new callers.
  std::size_t UsableCount = 0;
  std::map<ServiceId, IndexedLoads> Loads;
};

} // namespace savorylb

#endif // SAVORYLB_INDEXED_REGION_H
