#ifndef SAVORYLB_SIM_RESULT_H
#define SAVORYLB_SIM_RESULT_H

#include "savorylb/rollout_phase.h"

namespace savorylb {

/// Result of a simulated rollout.
struct SimResult {
  int Requests = 0;
  int NewRequests = 0;
  int BadNewRequests = 0;
  RolloutPhase Phase = RolloutPhase::Waiting;
};

} // namespace savorylb

#endif // SAVORYLB_SIM_RESULT_H
