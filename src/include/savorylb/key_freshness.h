#ifndef SAVORYLB_KEY_FRESHNESS_H
#define SAVORYLB_KEY_FRESHNESS_H

#include "savorylb/units.h"

namespace savorylb {

/// Age of the known keys and the reachability of the store and other zones.
struct KeyFreshness {
  /// Time since the last confirmed contact with the store, directly or through
  /// peers.
  Duration Age{};
  /// At least one VM of every other zone answered recently.
  bool OtherZonesReached = false;
  /// At least one VM heard from reached the store recently.
  bool AnyStoreContact = false;
};

} // namespace savorylb

#endif // SAVORYLB_KEY_FRESHNESS_H
