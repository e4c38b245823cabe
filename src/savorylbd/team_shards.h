#ifndef SAVORYLB_SAVORYLBD_TEAM_SHARDS_H
#define SAVORYLB_SAVORYLBD_TEAM_SHARDS_H

#include "borrowed_grant.h"
#include "savorylb/ids.h"
#include "savorylb/lender_choice.h"
#include "savorylb/token_bucket.h"
#include "settled_grants.h"
#include "team_shard.h"

#include <array>
#include <map>

namespace savorylb {

struct Daemon;

using TeamShards = std::array<TeamShard, 8>;

/// Sets all buckets to this VM's share of the teams' limits.
void applyRates(Daemon &daemon, Ppm share);

/// Takes a token from the own bucket.
/// \returns false when there is none or this VM may not use its share.
bool takeOwnToken(Daemon &daemon, const TeamId &team);

/// \returns false while this VM has no lease, no part of the rates, or gained
/// half of its part or more so lately that it may not be used: a refusal then
/// says nothing about the team's rate.
bool hasUsableShare(Daemon &daemon, const TeamId &team);

/// Takes a token, borrowing from peers when the own bucket is short.
/// \param daemon the daemon.
/// \param team the team.
/// \param patience how long a borrow may take.
/// \param retryAfter receives the time to the next token when refused.
/// \returns true when the request is within its team's limits.
bool admitRequest(Daemon &daemon, const TeamId &team, Duration patience,
                  Duration &retryAfter);

/// Lends tokens to a peer after ending the holds of its settled grants.
BorrowedGrant lendToPeer(Daemon &daemon, const TeamId &team, MicroTokens wanted,
                         const VmId &borrower, const SettledGrants &settled);

/// \returns the level of each team's bucket.
std::map<TeamId, MicroTokens> tokenLevels(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_TEAM_SHARDS_H
