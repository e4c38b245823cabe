#ifndef SAVORYLB_CAPACITY_HOLD_H
#define SAVORYLB_CAPACITY_HOLD_H

#include "savorylb/units.h"

#include <cstdint>

namespace savorylb {

/// Capacity that a bucket may not fill for now.
struct CapacityHold {
  MicroTokens Amount;
  MonoTime Until;
  /// Number of the grant it stands for; 0 for a hold from a larger share.
  std::uint64_t Grant = 0;
};

} // namespace savorylb

#endif // SAVORYLB_CAPACITY_HOLD_H
