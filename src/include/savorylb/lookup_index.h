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

/// VMs prepared for lookups; rebuilt when heartbeats or a configuration came
/// in.
struct LookupIndex {
  std::vector<IndexedRegion> Regions;
  /// Services whose requests may go to another region.
  std::map<ServiceId, bool> Spill;
};

/// \param config the configuration in force.
/// \param vms all known VMs, this one included.
/// \returns an index for lookUp().
LookupIndex makeLookupIndex(const Config &config,
                            const std::vector<VmView> &vms);

/// VMs of a region that are compared for one caller, so that a lookup costs the
/// same in a large fleet; all of them when too few of these have room.
constexpr std::size_t LookupWindow = 64;

/// Ranks the VMs for a caller, with the same result as lookUp() without index.
/// \param index the prepared VMs.
/// \param blocks client blocks.
/// \param query the lookup.
/// \param now the current time.
/// \returns at least two VMs where there are two.
LookupAnswer lookUp(const LookupIndex &index, const BlockTable &blocks,
                    const LookupQuery &query, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_LOOKUP_INDEX_H
