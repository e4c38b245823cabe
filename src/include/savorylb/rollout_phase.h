#ifndef SAVORYLB_ROLLOUT_PHASE_H
#define SAVORYLB_ROLLOUT_PHASE_H

namespace savorylb {

/// Where a rollout stands. TakenBack and Done are final.
enum class RolloutPhase { Waiting, Running, Late, Done, TakenBack };

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_PHASE_H
