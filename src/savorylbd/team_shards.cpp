#include "team_shards.h"

#include "daemon.h"
#include "peer_calls.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/hash.h"
#include "savorylb/lender_choice.h"
#include "savorylb/metrics.h"

#include <algorithm>

namespace savorylb {
namespace {

/// How long a team's requests are refused without asking peers again after they
/// had nothing to lend; otherwise a team over its rate would cause a call for
/// each refused request.
constexpr Duration BorrowPause = Millis(20);

TeamShard &shardOf(Daemon &daemon, const TeamId &team) {
  return daemon.Teams[stableHash(team.Value) % daemon.Teams.size()];
}

/// \returns the peers that may lend tokens of a team, in the order in which to
/// ask them.
std::vector<PeerAddress> findLenders(Daemon &daemon, const TeamId &team,
                                     const LenderLevels &reported) {
  std::vector<LenderCandidate> candidates;
  std::map<VmId, std::string> endpoints;
  MonoTime now = monoNow();
  VmViews vms = knownVms(daemon);
  for (const VmView &it : *vms) {
    if (it.Name == daemon.Conf.Vm || now < it.RetryAt ||
        now - it.AsOf > VmSilenceLimit)
      continue;
    auto level = it.Tokens.find(team);
    if (level == it.Tokens.end())
      continue;
    candidates.push_back(
        {it.Name, {level->second, it.AsOf}, it.Region == daemon.Conf.Region});
    endpoints[it.Name] = it.PeerEndpoint;
  }
  std::vector<PeerAddress> lenders;
  for (const VmId &it : chooseLenders(candidates, reported))
    lenders.push_back({it, endpoints[it]});
  return lenders;
}

MicroTokens wantedTokens(TeamShard &shard, const TeamId &team) {
  std::lock_guard<std::mutex> guard(shard.Lock);
  const TokenBucket &bucket = shard.Buckets[team];
  // A batch for the next 100 ms of demand saves a call for each request.
  std::int64_t batch = bucket.ForecastPerSecond / 10;
  return MicroTokens(std::max(OneToken.Value, batch));
}

/// Deposits a grant and takes one token. The grant is settled when the bucket
/// then holds no borrowed tokens above its own capacity.
bool depositGrant(Daemon &daemon, TeamShard &shard, const TeamId &team,
                  const BorrowedGrant &grant, const VmId &lender,
                  MonoTime requestedAt) {
  if (!mayUseOwnedResources(daemon))
    return false;
  std::lock_guard<std::mutex> guard(shard.Lock);
  TokenBucket &bucket = shard.Buckets[team];
  MonoTime now = monoNow();
  depositTokens(bucket, grant.Amount, requestedAt, now);
  bool taken = takeToken(bucket, now);
  if (bucket.Borrowed == MicroTokens(0)) {
    SettledGrants &settled = shard.Settled[{team, lender}];
    if (settled.Lender != grant.Lender)
      settled = {grant.Lender, {}};
    settled.Grants.push_back(grant.Number);
  }
  return taken;
}

/// Borrows from one peer after another until a token can be taken.
bool borrowToken(Daemon &daemon, TeamShard &shard, const TeamId &team,
                 Duration timeout) {
  MonoTime limit = monoNow() + timeout;
  for (const PeerAddress &it :
       findLenders(daemon, team, shard.ReportedLevels[team])) {
    MonoTime sentAt = monoNow();
    if (sentAt >= limit)
      break;
    SettledGrants settled = std::move(shard.Settled[{team, it.Vm}]);
    shard.Settled.erase({team, it.Vm});
    BorrowedGrant granted = callBorrow(
        daemon, it, team, wantedTokens(shard, team), settled, limit - sentAt);
    if (granted.Answered)
      shard.ReportedLevels[team][it.Vm] = {granted.RemainingLevel, sentAt};
    if (granted.Amount == MicroTokens(0))
      continue;
    incrementCounter("tokens_borrowed", granted.Amount.Value / OneToken.Value);
    logEvent(EventCode::TokensBorrowed,
             {{"team", team.Value},
              {"lender", it.Vm.Value},
              {"micro_tokens", granted.Amount.Value}});
    if (depositGrant(daemon, shard, team, granted, it.Vm, sentAt))
      return true;
  }
  return false;
}

} // namespace

void applyRates(Daemon &daemon, Ppm share) {
  SnapshotPtr snapshot = currentSnapshot(daemon);
  MonoTime now = monoNow();
  std::set<TeamId> configured;
  for (const TeamSpec &team : snapshot->Conf.Teams) {
    configured.insert(team.Name);
    TeamShard &shard = shardOf(daemon, team.Name);
    std::lock_guard<std::mutex> guard(shard.Lock);
    auto [it, added] = shard.Buckets.try_emplace(team.Name);
    if (added)
      it->second.Updated = now;
    setShare(it->second, team.Rate, team.Burst, share, now);
  }
  for (TeamShard &shard : daemon.Teams) {
    std::lock_guard<std::mutex> guard(shard.Lock);
    for (auto it = shard.Buckets.begin(); it != shard.Buckets.end();)
      it =
          configured.count(it->first) ? std::next(it) : shard.Buckets.erase(it);
  }
}

bool takeOwnToken(Daemon &daemon, const TeamId &team) {
  if (!mayUseOwnedResources(daemon))
    return false;
  TeamShard &shard = shardOf(daemon, team);
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.Buckets.find(team);
  return it != shard.Buckets.end() && takeToken(it->second, monoNow());
}

bool hasUsableShare(Daemon &daemon, const TeamId &team) {
  if (!mayUseOwnedResources(daemon))
    return false;
  TeamShard &shard = shardOf(daemon, team);
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.Buckets.find(team);
  if (it == shard.Buckets.end() || it->second.Share == Ppm(0))
    return false;
  const TokenBucket &bucket = it->second;
  MonoTime now = monoNow();
  std::int64_t heldGrowth = 0;
  for (const CapacityHold &hold : bucket.Holds)
    if (hold.Grant == 0 && hold.Until > now)
      heldGrowth += hold.Amount.Value;
  return heldGrowth * 2 < bucket.Capacity.Value;
}

bool admitRequest(Daemon &daemon, const TeamId &team, Duration timeout,
                  Duration &retryAfter) {
  if (takeOwnToken(daemon, team))
    return true;
  if (!mayUseOwnedResources(daemon)) {
    // Tokens borrowed without a lease could not be used and would be lost.
    retryAfter = Seconds(1);
    return false;
  }
  TeamShard &shard = shardOf(daemon, team);
  std::unique_lock<std::timed_mutex> borrowGuard(shard.BorrowLock, timeout);
  if (borrowGuard.owns_lock()) {
    // Another request may have borrowed enough tokens for this one too.
    if (takeOwnToken(daemon, team))
      return true;
    MonoTime &pausedUntil = shard.BorrowPausedUntil[team];
    if (monoNow() >= pausedUntil) {
      if (borrowToken(daemon, shard, team, timeout))
        return true;
      pausedUntil = monoNow() + BorrowPause;
    }
  }
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.Buckets.find(team);
  retryAfter = it == shard.Buckets.end() ? Duration(Seconds(1))
                                         : timeToToken(it->second);
  return false;
}

BorrowedGrant lendToPeer(Daemon &daemon, const TeamId &team, MicroTokens wanted,
                         const VmId &borrower, const SettledGrants &settled) {
  BorrowedGrant grant;
  grant.Lender = daemon.SelfIncarnation;
  if (!mayUseOwnedResources(daemon))
    return grant;
  {
    TeamShard &shard = shardOf(daemon, team);
    std::lock_guard<std::mutex> guard(shard.Lock);
    auto it = shard.Buckets.find(team);
    if (it == shard.Buckets.end())
      return grant;
    MonoTime now = monoNow();
    if (settled.Lender == daemon.SelfIncarnation)
      for (std::uint64_t number : settled.Grants)
        releaseHold(it->second, number, now);
    grant.Amount = lendTokens(it->second, wanted, now);
    grant.Number = it->second.LastGrant;
    grant.RemainingLevel = it->second.Level;
  }
  if (grant.Amount > MicroTokens(0))
    logEvent(EventCode::TokensLent, {{"team", team.Value},
                                     {"borrower", borrower.Value},
                                     {"micro_tokens", grant.Amount.Value}});
  return grant;
}

std::map<TeamId, MicroTokens> tokenLevels(Daemon &daemon) {
  std::map<TeamId, MicroTokens> levels;
  MonoTime now = monoNow();
  for (TeamShard &shard : daemon.Teams) {
    std::lock_guard<std::mutex> guard(shard.Lock);
    for (auto &[team, bucket] : shard.Buckets) {
      refillBucket(bucket, now);
      levels[team] = bucket.Level;
    }
  }
  return levels;
}

} // namespace savorylb
