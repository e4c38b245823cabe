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

/// Teams are distributed over the shards by a hash of their name, so that
/// requests of different teams rarely wait for the same lock.
using TeamShards = std::array<TeamShard, 8>;

/// Sets all buckets to this VM's share of the teams' limits.
/// \param share this VM's share of the fleet's rates.
void applyRates(Daemon &daemon, Ppm share);

/// Takes a token from the own bucket.
/// \returns false when there is none or this VM may not use its share.
bool takeOwnToken(Daemon &daemon, const TeamId &team);

/// \returns false while this VM has no lease or no share of the rates, or while
/// at least half of its capacity was gained too recently to be used. A refusal
/// then does not mean that the team is over its rate.
bool hasUsableShare(Daemon &daemon, const TeamId &team);

/// Takes a token, borrowing from peers when the own bucket has none.
/// \param timeout how long borrowing may take.
/// \param retryAfter receives the time to the next token when refused.
/// \returns true when the request is within its team's limits.
bool admitRequest(Daemon &daemon, const TeamId &team, Duration timeout,
                  Duration &retryAfter);

/// Ends the holds of the peer's settled grants, then lends it tokens.
BorrowedGrant lendToPeer(Daemon &daemon, const TeamId &team, MicroTokens wanted,
                         const VmId &borrower, const SettledGrants &settled);

/// \returns the level of each team's bucket.
std::map<TeamId, MicroTokens> tokenLevels(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_TEAM_SHARDS_H
