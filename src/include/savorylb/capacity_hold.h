#ifndef SAVORYLB_CAPACITY_HOLD_H
#define SAVORYLB_CAPACITY_HOLD_H

#include "savorylb/units.h"

#include <cstdint>

namespace savorylb {

/// A temporary reduction of a bucket's usable capacity.
struct CapacityHold {
  MicroTokens Amount;
  MonoTime Until;
  /// Number of the lent grant that it covers; 0 when it delays capacity gained
  /// by a larger share.
  std::uint64_t Grant = 0;
};

} // namespace savorylb

#endif // SAVORYLB_CAPACITY_HOLD_H
