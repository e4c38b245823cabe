#ifndef SAVORYLB_CLOCK_H
#define SAVORYLB_CLOCK_H

#include "savorylb/units.h"

namespace savorylb {

/// \returns the time since boot, which advances while the VM is suspended.
MonoTime monoNow();

/// \returns the wall-clock time.
WallTime wallNow();

} // namespace savorylb

#endif // SAVORYLB_CLOCK_H
