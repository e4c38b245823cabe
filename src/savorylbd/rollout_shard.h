#ifndef SAVORYLB_SAVORYLBD_ROLLOUT_SHARD_H
#define SAVORYLB_SAVORYLBD_ROLLOUT_SHARD_H

#include "savorylb/rollout.h"

#include <mutex>

namespace savorylb {

/// The rollout of one service on this VM.
struct RolloutShard {
  std::mutex Lock;
  Rollout State;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ROLLOUT_SHARD_H
