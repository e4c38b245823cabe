#include "savorylb/token_bucket.h"

#include <algorithm>

namespace savorylb {

namespace {

constexpr std::int64_t Million = 1'000'000;
constexpr std::int64_t WindowsPerSecond = Seconds(1) / ForecastSpan;
/// Windows without use after which the forecast is zero rather than a long tail
/// of halves.
constexpr std::int64_t IdleWindows = 10;
/// Smaller grants are not worth a message unless the peer needs no more.
constexpr MicroTokens SmallestGrant{100'000};
constexpr Duration LongestTokenWait = Seconds(3600);

/// Rates of 10^7 a second times an hour in microseconds exceed 64 bits.
__extension__ using Wide = __int128;

MicroTokens usableCapacity(const TokenBucket &bucket) {
  return std::max(MicroTokens(0), bucket.Capacity - bucket.Held);
}

/// A full bucket has no fraction on top, or levels could add up to more than
/// the burst by a part of a micro-token per VM.
void clampLevel(TokenBucket &bucket) {
  MicroTokens cap = usableCapacity(bucket);
  if (bucket.Level >= cap) {
    bucket.Level = cap;
    bucket.RefillRemainder = 0;
  }
}

void advanceTo(TokenBucket &bucket, MonoTime time) {
  if (time <= bucket.Updated)
    return;
  Wide gain = Wide(bucket.RefillPerSecond) * (time - bucket.Updated).count() +
              bucket.RefillRemainder;
  bucket.Updated = time;
  MicroTokens cap = usableCapacity(bucket);
  if (gain / Million >= (cap - bucket.Level).Value) {
    bucket.Level = cap;
    bucket.RefillRemainder = 0;
    return;
  }
  bucket.Level += MicroTokens(static_cast<std::int64_t>(gain / Million));
  bucket.RefillRemainder = static_cast<std::int64_t>(gain % Million);
}

void rollForecast(TokenBucket &bucket, MonoTime now) {
  std::int64_t windows = (now - bucket.WindowStart) / ForecastSpan;
  if (windows <= 0)
    return;
  bucket.WindowStart += windows * ForecastSpan;
  std::int64_t used = bucket.UsedInWindow * WindowsPerSecond;
  bucket.UsedInWindow = 0;
  if (windows > IdleWindows) {
    bucket.ForecastPerSecond = 0;
    return;
  }
  bucket.ForecastPerSecond = (bucket.ForecastPerSecond + used) / 2;
  bucket.ForecastPerSecond >>= windows - 1;
}

void addHold(TokenBucket &bucket, MicroTokens amount, MonoTime until,
             std::uint64_t grant) {
  auto it = bucket.Holds.end();
  while (it != bucket.Holds.begin() && std::prev(it)->Until > until)
    --it;
  bucket.Holds.insert(it, {amount, until, grant});
  bucket.Held += amount;
}

/// Capacity that goes on to another VM while it is still held for the growth of
/// this one takes its hold along: the next VM holds it for longer.
void cancelGrowth(TokenBucket &bucket, MicroTokens amount) {
  for (auto it = bucket.Holds.rbegin(); it != bucket.Holds.rend(); ++it) {
    if (it->Grant != 0)
      continue;
    MicroTokens part = std::min(it->Amount, amount);
    it->Amount -= part;
    bucket.Held -= part;
    amount -= part;
  }
}

} // namespace

void refillBucket(TokenBucket &bucket, MonoTime now) {
  now = std::max(now, bucket.Updated);
  if (now > bucket.BorrowedUntil)
    bucket.Borrowed = MicroTokens(0);
  // The capacity rises only when a hold ends; filling the new part with tokens
  // of the time before would allow a burst above the team's.
  while (!bucket.Holds.empty() && bucket.Holds.front().Until <= now) {
    advanceTo(bucket, bucket.Holds.front().Until);
    bucket.Held -= bucket.Holds.front().Amount;
    bucket.Holds.pop_front();
  }
  advanceTo(bucket, now);
  rollForecast(bucket, now);
}

void setShare(TokenBucket &bucket, std::int64_t teamRate,
              std::int64_t teamBurst, Ppm share, MonoTime now) {
  refillBucket(bucket, now);
  MicroTokens capacity(teamBurst * share.Value);
  std::int64_t moved = teamBurst * (share - bucket.Share).Value;
  if (moved > 0)
    addHold(bucket, MicroTokens(moved), bucket.Updated + GrowthHold, 0);
  else if (capacity < bucket.Capacity)
    cancelGrowth(bucket,
                 std::min(MicroTokens(-moved), bucket.Capacity - capacity));
  bucket.Capacity = capacity;
  // Requests a second times ppm are micro-tokens a second, without rounding.
  bucket.RefillPerSecond = teamRate * share.Value;
  bucket.Share = share;
  clampLevel(bucket);
}

bool takeToken(TokenBucket &bucket, MonoTime now) {
  refillBucket(bucket, now);
  if (bucket.Level + bucket.Borrowed < OneToken) {
    bucket.ShortUntil = bucket.Updated + ForecastSpan;
    return false;
  }
  // Borrowed tokens expire, so they go first.
  MicroTokens borrowed = std::min(bucket.Borrowed, OneToken);
  bucket.Borrowed -= borrowed;
  bucket.Level -= OneToken - borrowed;
  bucket.UsedInWindow += OneToken.Value;
  return true;
}

MicroTokens lendTokens(TokenBucket &bucket, MicroTokens wanted, MonoTime now) {
  refillBucket(bucket, now);
  // A bucket below one token refuses all requests of its own that borrowed
  // nothing; if that stopped it from lending, no VM could complete a token.
  if (bucket.Capacity >= OneToken && bucket.Updated < bucket.ShortUntil)
    return MicroTokens(0);
  std::int64_t keep = std::max(bucket.ForecastPerSecond / WindowsPerSecond,
                               bucket.UsedInWindow);
  MicroTokens amount = std::min(wanted, bucket.Level - MicroTokens(keep));
  if (amount <= MicroTokens(0) || amount < std::min(wanted, SmallestGrant))
    return MicroTokens(0);
  bucket.Level -= amount;
  addHold(bucket, amount, bucket.Updated + LenderHold, ++bucket.LastGrant);
  return amount;
}

bool releaseHold(TokenBucket &bucket, std::uint64_t grant, MonoTime now) {
  refillBucket(bucket, now);
  auto it =
      std::find_if(bucket.Holds.begin(), bucket.Holds.end(),
                   [&](const CapacityHold &h) { return h.Grant == grant; });
  if (grant == 0 || it == bucket.Holds.end())
    return false;
  bucket.Held -= it->Amount;
  bucket.Holds.erase(it);
  return true;
}

MicroTokens depositTokens(TokenBucket &bucket, MicroTokens granted,
                          MonoTime requestedAt, MonoTime now) {
  refillBucket(bucket, now);
  MonoTime until = requestedAt + GrantLifetime;
  if (granted <= MicroTokens(0) || requestedAt > bucket.Updated ||
      until < bucket.Updated)
    return MicroTokens(0);
  MicroTokens kept = std::min(granted, usableCapacity(bucket) - bucket.Level);
  bucket.Level += kept;
  clampLevel(bucket);
  MicroTokens excess =
      std::min(granted - kept, OneToken - bucket.Level - bucket.Borrowed);
  if (excess <= MicroTokens(0))
    return kept;
  bucket.BorrowedUntil = bucket.Borrowed > MicroTokens(0)
                             ? std::min(bucket.BorrowedUntil, until)
                             : until;
  bucket.Borrowed += excess;
  return kept + excess;
}

Duration timeToToken(const TokenBucket &bucket) {
  MicroTokens missing = OneToken - bucket.Level - bucket.Borrowed;
  if (missing <= MicroTokens(0))
    return Duration(0);
  if (bucket.RefillPerSecond <= 0)
    return LongestTokenWait;
  std::int64_t micros = (missing.Value * Million + bucket.RefillPerSecond - 1) /
                        bucket.RefillPerSecond;
  return std::min(LongestTokenWait, Duration(micros));
}

} // namespace savorylb
