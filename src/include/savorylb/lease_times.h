#ifndef SAVORYLB_LEASE_TIMES_H
#define SAVORYLB_LEASE_TIMES_H

#include "savorylb/units.h"

namespace savorylb {

/// Time limits of leases between a VM and its successor.
struct LeaseTimes {
  /// How long the successor holds off after it granted a lease.
  Duration Granted = Millis(3000);
  /// How much of it the holder uses; the rest covers clock drift.
  Duration Usable = Millis(2500);
  Duration RenewEvery = Millis(500);
  /// A gap between two ticks above this counts as a pause of the process.
  Duration PauseLimit = Millis(2000);
};

} // namespace savorylb

#endif // SAVORYLB_LEASE_TIMES_H
