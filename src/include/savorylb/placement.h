#ifndef SAVORYLB_PLACEMENT_H
#define SAVORYLB_PLACEMENT_H

#include "savorylb/config.h"
#include "savorylb/placement_choice.h"
#include "savorylb/placement_query.h"
#include "savorylb/vm_view.h"

#include <vector>

namespace savorylb {

/// Maximum number of owners in one answer. A request that this many owners
/// refused is refused instead of being forwarded again.
constexpr std::size_t MaxPlacementOwners = 8;

/// Ranks the owners to ask for a slot. Owners with free slots in the local zone
/// come first, then those in the local region, then full owners of the local
/// region whose queue is shorter than their number of slots. They are followed
/// by owners with free slots in other regions and by full owners of the local
/// region with longer queues.
/// \param vms all known VMs, including this one.
/// \param now the current time; older load figures have less weight.
/// \returns owners in the order in which to ask them.
std::vector<PlacementChoice> placeRequest(const Config &config,
                                          const std::vector<VmView> &vms,
                                          const PlacementQuery &query,
                                          MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_PLACEMENT_H
