#include "savorylb/token_bucket.h"

#include <algorithm>

namespace savorylb {

namespace {

constexpr std::int64_t MicrosPerSecond = 1'000'000;
constexpr std::int64_t WindowsPerSecond = Seconds(1) / ForecastWindow;
/// The forecast halves in each window without use and is zero after more
/// windows than these.
constexpr std::int64_t MaxIdleWindows = 10;
/// A smaller grant is not worth a message unless the peer needs no more.
constexpr MicroTokens MinGrant{100'000};
constexpr Duration MaxTokenWait = Seconds(3600);

/// The highest configured rate, 10^6 requests a second, in micro-tokens, times
/// an hour in microseconds exceeds 64 bits.
__extension__ using Int128 = __int128;

MicroTokens usableCapacity(const TokenBucket &bucket) {
  return std::max(MicroTokens(0), bucket.Capacity - bucket.Held);
}

/// Limits the level to the usable capacity. A full bucket has no fractional
/// remainder; otherwise the levels of all VMs could exceed the burst by a
/// fraction of a micro-token per VM.
void clampLevel(TokenBucket &bucket) {
  MicroTokens cap = usableCapacity(bucket);
  if (bucket.Level >= cap) {
    bucket.Level = cap;
    bucket.RefillRemainder = 0;
  }
}

/// Refills a bucket up to \p time with the current usable capacity; no hold may
/// end before \p time.
void advanceTo(TokenBucket &bucket, MonoTime time) {
  if (time <= bucket.Updated)
    return;
  Int128 gain =
      Int128(bucket.RefillPerSecond) * (time - bucket.Updated).count() +
      bucket.RefillRemainder;
  bucket.Updated = time;
  MicroTokens cap = usableCapacity(bucket);
  if (gain / MicrosPerSecond >= (cap - bucket.Level).Value) {
    bucket.Level = cap;
    bucket.RefillRemainder = 0;
    return;
  }
  bucket.Level +=
      MicroTokens(static_cast<std::int64_t>(gain / MicrosPerSecond));
  bucket.RefillRemainder = static_cast<std::int64_t>(gain % MicrosPerSecond);
}

/// Updates the forecast by the windows that have ended.
void updateForecast(TokenBucket &bucket, MonoTime now) {
  std::int64_t windows = (now - bucket.WindowStart) / ForecastWindow;
  if (windows <= 0)
    return;
  bucket.WindowStart += windows * ForecastWindow;
  std::int64_t used = bucket.UsedInWindow * WindowsPerSecond;
  bucket.UsedInWindow = 0;
  if (windows > MaxIdleWindows) {
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

/// Reduces the growth holds of capacity that moves on to another VM before they
/// have ended. The other VM holds that capacity for longer.
void cancelGrowthHolds(TokenBucket &bucket, MicroTokens amount) {
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
  // The capacity rises only when a hold ends. Filling the added capacity with
  // tokens from before that time would allow a burst above the team's limit.
  while (!bucket.Holds.empty() && bucket.Holds.front().Until <= now) {
    advanceTo(bucket, bucket.Holds.front().Until);
    bucket.Held -= bucket.Holds.front().Amount;
    bucket.Holds.pop_front();
  }
  advanceTo(bucket, now);
  updateForecast(bucket, now);
}

void setShare(TokenBucket &bucket, std::int64_t teamRate,
              std::int64_t teamBurst, Ppm share, MonoTime now) {
  refillBucket(bucket, now);
  MicroTokens capacity(teamBurst * share.Value);
  std::int64_t change = teamBurst * (share - bucket.Share).Value;
  if (change > 0)
    addHold(bucket, MicroTokens(change), bucket.Updated + GrowthHoldTime, 0);
  else if (capacity < bucket.Capacity)
    cancelGrowthHolds(
        bucket, std::min(MicroTokens(-change), bucket.Capacity - capacity));
  bucket.Capacity = capacity;
  // Requests a second times ppm gives micro-tokens a second without rounding.
  bucket.RefillPerSecond = teamRate * share.Value;
  bucket.Share = share;
  clampLevel(bucket);
}

bool takeToken(TokenBucket &bucket, MonoTime now) {
  refillBucket(bucket, now);
  if (bucket.Level + bucket.Borrowed < OneToken) {
    bucket.NoLendingUntil = bucket.Updated + ForecastWindow;
    return false;
  }
  // Borrowed tokens expire, so they are used first.
  MicroTokens borrowed = std::min(bucket.Borrowed, OneToken);
  bucket.Borrowed -= borrowed;
  bucket.Level -= OneToken - borrowed;
  bucket.UsedInWindow += OneToken.Value;
  return true;
}

MicroTokens lendTokens(TokenBucket &bucket, MicroTokens wanted, MonoTime now) {
  refillBucket(bucket, now);
  // A bucket with a capacity below one token refuses all its own requests
  // unless it has borrowed. If refusals stopped it from lending, no VM could
  // complete a token.
  if (bucket.Capacity >= OneToken && bucket.Updated < bucket.NoLendingUntil)
    return MicroTokens(0);
  std::int64_t reserved = std::max(bucket.ForecastPerSecond / WindowsPerSecond,
                                   bucket.UsedInWindow);
  MicroTokens amount = std::min(wanted, bucket.Level - MicroTokens(reserved));
  if (amount <= MicroTokens(0) || amount < std::min(wanted, MinGrant))
    return MicroTokens(0);
  bucket.Level -= amount;
  addHold(bucket, amount, bucket.Updated + LenderHoldTime, ++bucket.LastGrant);
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
  MicroTokens added = std::min(granted, usableCapacity(bucket) - bucket.Level);
  bucket.Level += added;
  clampLevel(bucket);
  MicroTokens excess =
      std::min(granted - added, OneToken - bucket.Level - bucket.Borrowed);
  if (excess <= MicroTokens(0))
    return added;
  bucket.BorrowedUntil = bucket.Borrowed > MicroTokens(0)
                             ? std::min(bucket.BorrowedUntil, until)
                             : until;
  bucket.Borrowed += excess;
  return added + excess;
}

Duration timeToToken(const TokenBucket &bucket) {
  MicroTokens missing = OneToken - bucket.Level - bucket.Borrowed;
  if (missing <= MicroTokens(0))
    return Duration(0);
  if (bucket.RefillPerSecond <= 0)
    return MaxTokenWait;
  std::int64_t micros =
      (missing.Value * MicrosPerSecond + bucket.RefillPerSecond - 1) /
      bucket.RefillPerSecond;
  return std::min(MaxTokenWait, Duration(micros));
}

} // namespace savorylb
