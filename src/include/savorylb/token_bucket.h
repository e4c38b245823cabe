#ifndef SAVORYLB_TOKEN_BUCKET_H
#define SAVORYLB_TOKEN_BUCKET_H

#include "savorylb/capacity_hold.h"
#include "savorylb/units.h"

#include <cstdint>
#include <deque>

namespace savorylb {

/// How long a borrower may use a grant, and how long the lender's capacity is
/// reduced for it.
constexpr Duration GrantLifetime = Millis(1000);
constexpr Duration LenderHoldTime = Millis(2000);

/// How long capacity gained by a larger share stays unusable. The VM that had
/// the share may have lent tokens from it just before its share shrank or it
/// died; those tokens must have expired first. A tenth more than GrantLifetime
/// covers clocks that run at different speeds.
constexpr Duration GrowthHoldTime = Millis(1100);

/// A lender reserves the tokens that it is expected to use itself within this
/// time; its use is measured over windows of the same length.
constexpr Duration ForecastWindow = Millis(200);

/// Token bucket of one team on one VM. It holds the VM's share of the team's
/// rate and burst and can borrow tokens from the buckets of other VMs.
struct TokenBucket {
  MicroTokens Level;
  /// Capacity without holds: the VM's share of the burst.
  MicroTokens Capacity;
  /// Refill rate in micro-tokens a second.
  std::int64_t RefillPerSecond = 0;
  MonoTime Updated{};
  /// In order of expiry.
  std::deque<CapacityHold> Holds;
  /// Sum of the amounts in Holds.
  MicroTokens Held;
  /// Share that Capacity was computed from.
  Ppm Share;
  /// Borrowed tokens above the capacity, at most what is missing to one token.
  /// They count as in transit: the lender's hold covers them until they expire.
  MicroTokens Borrowed;
  MonoTime BorrowedUntil{};
  /// Number of the newest grant that this bucket lent.
  std::uint64_t LastGrant = 0;
  /// Smoothed use by this VM in micro-tokens a second; reserved from lending.
  std::int64_t ForecastPerSecond = 0;
  /// Fraction left over by the last refill, in millionths of a micro-token.
  std::int64_t RefillRemainder = 0;
  /// Micro-tokens used by this VM since WindowStart.
  std::int64_t UsedInWindow = 0;
  MonoTime WindowStart{};
  /// End of the time without lending after the last refused request of this VM.
  MonoTime NoLendingUntil{};
};

/// Changes a bucket to a new share of a team's limits.
///
/// The level never rises by the change itself: a larger bucket fills at its
/// refill rate, and capacity gained by a larger share is usable only after
/// GrowthHoldTime. A VM that gives up share must have reduced its bucket before
/// another VM's bucket grows.
/// \param bucket the bucket; a new one starts without tokens.
/// \param teamRate the team's rate over all VMs, in requests a second.
/// \param teamBurst the team's burst over all VMs, in requests.
void setShare(TokenBucket &bucket, std::int64_t teamRate,
              std::int64_t teamBurst, Ppm share, MonoTime now);

/// Takes tokens for one request.
///
/// A bucket whose capacity is below one token never fills to a whole token; it
/// admits requests only with borrowed tokens.
/// \returns false, and takes nothing, when there are too few tokens.
bool takeToken(TokenBucket &bucket, MonoTime now);

/// Lends tokens to a peer and reduces the capacity while they are in transit.
///
/// The grant's number is stored in LastGrant. The tokens that the lender is
/// expected to use itself within ForecastWindow are reserved, and a bucket with
/// a capacity of one token or more lends nothing for ForecastWindow after it
/// refused a request of its own.
/// \param bucket the lender's bucket.
/// \returns the tokens lent; zero when none can be spared.
MicroTokens lendTokens(TokenBucket &bucket, MicroTokens wanted, MonoTime now);

/// Ends the hold of a grant that the borrower reported as deposited or dropped.
///
/// Without a report the hold ends after LenderHoldTime, which limits lending to
/// one capacity per LenderHoldTime. The borrower reports a grant only while its
/// bucket has no Borrowed tokens, and only to the incarnation that lent it.
/// \returns false when the grant has no hold any more.
bool releaseHold(TokenBucket &bucket, std::uint64_t grant, MonoTime now);

/// Adds a grant up to the capacity, or up to one token if that is more.
///
/// Each grant may be deposited once.
/// \param bucket the borrower's bucket.
/// \param granted tokens that the lender granted.
/// \param requestedAt when the request was sent; a grant requested more than
/// GrantLifetime ago is dropped.
/// \returns the tokens added.
MicroTokens depositTokens(TokenBucket &bucket, MicroTokens granted,
                          MonoTime requestedAt, MonoTime now);

/// Updates the level, the holds and the forecast to the current time.
void refillBucket(TokenBucket &bucket, MonoTime now);

/// Estimates how long it takes until one token is available.
/// \returns the time at the bucket's own refill rate, at most an hour. The
/// capacity is ignored, since borrowing can complete a token.
Duration timeToToken(const TokenBucket &bucket);

} // namespace savorylb

#endif // SAVORYLB_TOKEN_BUCKET_H
