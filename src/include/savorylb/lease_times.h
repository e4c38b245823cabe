#ifndef SAVORYLB_LEASE_TIMES_H
#define SAVORYLB_LEASE_TIMES_H

#include "savorylb/units.h"

namespace savorylb {

/// Time limits of leases between a VM and its successor.
struct LeaseTimes {
  /// How long the successor waits after granting a lease before it may take
  /// over.
  Duration Granted = Millis(3000);
  /// Part of Granted that the holder uses; the rest covers clock drift.
  Duration Usable = Millis(2500);
  Duration RenewEvery = Millis(500);
  /// A longer gap between two control ticks counts as a pause of the process.
  Duration PauseLimit = Millis(2000);
};

} // namespace savorylb

#endif // SAVORYLB_LEASE_TIMES_H
