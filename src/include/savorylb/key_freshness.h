#ifndef SAVORYLB_KEY_FRESHNESS_H
#define SAVORYLB_KEY_FRESHNESS_H

#include "savorylb/units.h"

namespace savorylb {

/// How fresh the keys are, and what peers say of the store.
struct KeyFreshness {
  /// Age of the last confirmed contact with the store, own or through peers.
  Duration Age{};
  /// Whether at least one VM of every other zone answered lately.
  bool OtherZonesReached = false;
  /// Whether any VM heard from reached the store lately.
  bool AnyStoreContact = false;
};

} // namespace savorylb

#endif // SAVORYLB_KEY_FRESHNESS_H
