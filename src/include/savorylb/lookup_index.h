#ifndef SAVORYLB_LOOKUP_INDEX_H
#define SAVORYLB_LOOKUP_INDEX_H

#include "savorylb/block_table.h"
#include "savorylb/config.h"
#include "savorylb/lookup.h"
#include "savorylb/vm_view.h"

#include <map>
#include <vector>

namespace savorylb {

/// What lookups need of one VM.
struct IndexedVm {
  LookupVm Answer;
  std::uint64_t NameHash = 0;
  bool Departing = false;
  MonoTime AsOf{};
};

/// Published slots of the VMs of a region for one service.
struct IndexedLoads {
  /// In the order of IndexedRegion::Vms.
  std::vector<PublishedLoad> OfVms;
  /// There are slots, and none of them is free.
  bool Saturated = false;
};

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
