#ifndef SAVORYLB_SAVORYLBD_PLACED_SLOT_H
#define SAVORYLB_SAVORYLBD_PLACED_SLOT_H

#include "peer_address.h"
#include "savorylb/ids.h"
#include "savorylb/slot_grant.h"

#include <cstdint>

namespace savorylb {

/// A slot for one attempt, and the VM that granted it.
struct PlacedSlot {
  SlotGrant Grant;
  PeerAddress Owner;
  RegionId Region;
  bool OtherRegion = false;
  /// Bytes reserved on the link to the other region.
  std::int64_t ReservedBytes = 0;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_PLACED_SLOT_H
