#ifndef SAVORYLB_SOAK_RUN_H
#define SAVORYLB_SOAK_RUN_H

#include "soak_fleet.h"

namespace savorylb::soak {

/// Runs daemons as processes, injects faults in an order derived from the seed,
/// and checks the results of callers and the runs at targets. Blocks for the
/// whole duration.
SoakReport runSoak(const SoakOptions &options);

} // namespace savorylb::soak

#endif // SAVORYLB_SOAK_RUN_H
