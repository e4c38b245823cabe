#ifndef SAVORYLB_PLACEMENT_H
#define SAVORYLB_PLACEMENT_H

#include "savorylb/config.h"
#include "savorylb/placement_choice.h"
#include "savorylb/placement_query.h"
#include "savorylb/vm_view.h"

#include <vector>

namespace savorylb {

/// Most owners in one answer; a request that this many owners refused is better
/// refused than sent on.
constexpr std::size_t MaxPlacementOwners = 8;

/// Orders the owners to ask for a slot: own zone, own region, then other
/// regions that published free slots.
/// \param config the configuration in force.
/// \param vms all known VMs, this one included.
/// \param query what is wanted.
/// \param now the current time; older figures count for less.
/// \returns owners in the order to ask them.
std::vector<PlacementChoice> placeRequest(const Config &config,
                                          const std::vector<VmView> &vms,
                                          const PlacementQuery &query,
                                          MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_PLACEMENT_H
