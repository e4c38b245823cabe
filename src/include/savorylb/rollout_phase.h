#ifndef SAVORYLB_ROLLOUT_PHASE_H
#define SAVORYLB_ROLLOUT_PHASE_H

namespace savorylb {

/// Phase of a rollout. Done and RolledBack are final.
enum class RolloutPhase { Waiting, Running, Late, Done, RolledBack };

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_PHASE_H
