#ifndef SAVORYLB_SAVORYLBD_TEAM_SHARD_H
#define SAVORYLB_SAVORYLBD_TEAM_SHARD_H

#include "savorylb/ids.h"
#include "savorylb/lender_choice.h"
#include "savorylb/token_bucket.h"
#include "savorylb/units.h"
#include "settled_grants.h"

#include <map>
#include <mutex>
#include <utility>

namespace savorylb {

/// Token buckets of the teams that hash to this shard.
struct TeamShard {
  std::mutex Lock;
  std::map<TeamId, TokenBucket> Buckets;
  /// One request at a time borrows; the others wait and use what it borrowed.
  std::timed_mutex BorrowLock;
  /// Guarded by BorrowLock.
  std::map<TeamId, MonoTime> BorrowPausedUntil;
  /// Guarded by BorrowLock.
  /// By team and lender.
  std::map<std::pair<TeamId, VmId>, SettledGrants> Settled;
  /// Guarded by BorrowLock.
  std::map<TeamId, LenderLevels> ReportedLevels;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_TEAM_SHARD_H
