#ifndef SAVORYLB_SIM_OUTCOME_H
#define SAVORYLB_SIM_OUTCOME_H

#include "savorylb/units.h"

namespace savorylb {

/// Outcome of a simulated request.
struct SimOutcome {
  bool Failed = false;
  Duration Took{};
};

} // namespace savorylb

#endif // SAVORYLB_SIM_OUTCOME_H
