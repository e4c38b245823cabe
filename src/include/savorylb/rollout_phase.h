#ifndef SAVORYLB_ROLLOUT_PHASE_H
#define SAVORYLB_ROLLOUT_PHASE_H

namespace savorylb {

/// Phase of a rollout, in the order in which phases follow each other;
/// adoptRecord() keeps the later one. A Late rollout is running but is not
/// expected to finish by its deadline. Done and RolledBack are final.
enum class RolloutPhase { Waiting, Running, Late, Done, RolledBack };

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_PHASE_H
