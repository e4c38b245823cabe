#ifndef SAVORYLB_TOKEN_BUCKET_H
#define SAVORYLB_TOKEN_BUCKET_H

#include "savorylb/capacity_hold.h"
#include "savorylb/units.h"

#include <cstdint>
#include <deque>

namespace savorylb {

/// How long a transferred grant may be used, and how long the lender keeps
/// its capacity lowered for it.
constexpr Duration GrantLifetime = Millis(1000);
constexpr Duration LenderHold = Millis(2000);

/// How long capacity gained by a larger share stays unusable. The VM that had
/// the share may have lent tokens against it just before it shrank or died;
/// those must have expired first. A tenth more than GrantLifetime covers clocks
/// that run at different speeds.
constexpr Duration GrowthHold = Millis(1100);

/// A lender keeps back its own use of this long; also the window over which
/// that use is measured.
constexpr Duration ForecastSpan = Millis(200);

/// One team's bucket on one VM.
struct TokenBucket {
  MicroTokens Level;
  /// Full capacity from the VM's share of the burst.
  MicroTokens Capacity;
  /// Micro-tokens a second.
  std::int64_t RefillPerSecond = 0;
  MonoTime Updated{};
  /// In order of expiry.
  std::deque<CapacityHold> Holds;
  /// Sum of Holds.
  MicroTokens Held;
  /// Share that Capacity was computed from.
  Ppm Share;
  /// Borrowed tokens above the capacity, at most what completes one token.
  /// They count as in transit: the lender's hold covers them until they expire.
  MicroTokens Borrowed;
  MonoTime BorrowedUntil{};
  /// Number of the newest grant lent.
  std::uint64_t LastGrant = 0;
  /// Own use, smoothed, in micro-tokens a second; kept back from lending.
  std::int64_t ForecastPerSecond = 0;
  /// Remainder of the last refill in millionths of a micro-token.
  std::int64_t RefillRemainder = 0;
  /// Own use since WindowStart, and the last time that own use was refused.
  std::int64_t UsedInWindow = 0;
  MonoTime WindowStart{};
  MonoTime ShortUntil{};
};

/// Changes a bucket to a new share of a team's limits.
///
/// The level never rises by it; a bucket that grows fills at its rate, and the
/// capacity gained by a larger share counts only after GrowthHold. The VM that
/// gives a share away must have shrunk its bucket before another grows.
/// \param bucket the bucket; a new one starts without tokens.
/// \param teamRate the team's rate, requests a second over the whole fleet.
/// \param teamBurst the team's burst, requests.
/// \param share this VM's share.
/// \param now the current time.
void setShare(TokenBucket &bucket, std::int64_t teamRate,
              std::int64_t teamBurst, Ppm share, MonoTime now);

/// Takes tokens for one request.
///
/// A bucket whose capacity is below one token never fills to one by itself; it
/// admits requests with tokens borrowed to complete one.
/// \returns false, and takes nothing, when there are too few.
bool takeToken(TokenBucket &bucket, MonoTime now);

/// Gives tokens to a peer and lowers the capacity while they are in transit.
///
/// The grant's number is then in LastGrant. What the lender is expected to use
/// itself within ForecastSpan is kept back, and a bucket of one token or more
/// lends nothing shortly after it refused a request of its own.
/// \param bucket the lender's bucket.
/// \param wanted what the peer asks for.
/// \param now the current time.
/// \returns what the peer may have; zero when nothing can be spared.
MicroTokens lendTokens(TokenBucket &bucket, MicroTokens wanted, MonoTime now);

/// Ends the hold of a grant that the borrower reported as deposited or dropped.
///
/// Without it the hold ends after LenderHold, which limits lending to one
/// capacity per LenderHold. The borrower reports a grant only while its bucket
/// has no Borrowed tokens, and only to the incarnation that lent it.
/// \returns false when there is no such hold any more.
bool releaseHold(TokenBucket &bucket, std::uint64_t grant, MonoTime now);

/// Adds a grant up to the capacity, or up to one token if that is more.
///
/// Each grant may be deposited once.
/// \param bucket the borrower's bucket.
/// \param granted what the lender gave.
/// \param requestedAt when the request was sent; an older grant is dropped.
/// \param now the current time.
/// \returns what was added.
MicroTokens depositTokens(TokenBucket &bucket, MicroTokens granted,
                          MonoTime requestedAt, MonoTime now);

/// Brings the level up to date.
void refillBucket(TokenBucket &bucket, MonoTime now);

/// \returns how long until one token is there at the bucket's own rate, at most
/// an hour; the capacity is left aside, since borrowing can complete a token.
Duration timeToToken(const TokenBucket &bucket);

} // namespace savorylb

#endif // SAVORYLB_TOKEN_BUCKET_H
