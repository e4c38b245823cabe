#ifndef SAVORYLB_SAVORYLBD_PLACEMENT_H
#define SAVORYLB_SAVORYLBD_PLACEMENT_H

#include "placed_slot.h"
#include "savorylb/units.h"

#include <optional>
#include <string>

namespace savorylb {

/// Result of the search for a slot.
struct Placement {
  std::optional<PlacedSlot> Slot;
  /// Why there is no slot.
  std::string Reason;
  Duration RetryAfter{};
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_PLACEMENT_H
