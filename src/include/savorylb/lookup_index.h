#ifndef SAVORYLB_LOOKUP_INDEX_H
#define SAVORYLB_LOOKUP_INDEX_H

#include "savorylb/block_table.h"
#include "savorylb/config.h"
#include "savorylb/indexed_loads.h"
#include "savorylb/indexed_region.h"
#include "savorylb/indexed_vm.h"
#include "savorylb/lookup.h"
#include "savorylb/vm_view.h"

#include <map>
#include <vector>

namespace savorylb {

/// An index of the VMs for lookups, rebuilt when heartbeats or a configuration
/// arrive.
struct LookupIndex {
  std::vector<IndexedRegion> Regions;
  /// Whether requests of a service may go to another region.
  std::map<ServiceId, bool> Spill;
};

/// Builds an index for lookUp().
/// \param vms all known VMs, including this one.
LookupIndex makeLookupIndex(const Config &config,
                            const std::vector<VmView> &vms);

/// Number of VMs of a region that a lookup compares, which bounds its cost in
/// a large fleet. All VMs are compared if too few of these have free slots.
constexpr std::size_t LookupWindow = 64;

/// Ranks the VMs for a caller, with the same result as lookUp() without an
/// index.
/// \returns at least two VMs if two are known.
LookupAnswer lookUp(const LookupIndex &index, const BlockTable &blocks,
                    const LookupQuery &query, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_LOOKUP_INDEX_H
