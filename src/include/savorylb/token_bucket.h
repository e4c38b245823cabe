#ifndef SAVORYLB_TOKEN_BUCKET_H
#define SAVORYLB_TOKEN_BUCKET_H

#include "savorylb/units.h"

#include <deque>

namespace savorylb {

/// How long a transferred grant may be used, and how long the lender keeps
/// its capacity lowered for it.
constexpr Duration GrantLifetime = Millis(1000);
constexpr Duration LenderHold = Millis(2000);

/// Capacity that a lender holds back while a transfer may be in transit.
struct CapacityHold {
  MicroTokens Amount;
  MonoTime Until;
};

/// One team's bucket on one VM.
struct TokenBucket {
  MicroTokens Level;
  /// Full capacity from the VM's share of the burst.
  MicroTokens Capacity;
  /// Micro-tokens a second.
  std::int64_t RefillPerSecond = 0;
  MonoTime Updated{};
  std::deque<CapacityHold> Holds;
  /// Own use, smoothed, in micro-tokens a second; kept back from lending.
  std::int64_t ForecastPerSecond = 0;
  /// Remainder of the last refill in millionths of a micro-token.
  std::int64_t RefillRemainder = 0;
};

/// Changes a bucket to a new share of a team's limits.
///
/// The level never rises by it; a bucket that grows fills at its rate.
/// \param bucket the bucket; a new one starts without tokens.
/// \param teamRate the team's rate, requests a second over the whole fleet.
/// \param teamBurst the team's burst, requests.
/// \param share this VM's share.
/// \param now the current time.
void setShare(TokenBucket &bucket, std::int64_t teamRate,
              std::int64_t teamBurst, Ppm share, MonoTime now);

/// Takes tokens for one request.
/// \returns false, and takes nothing, when there are too few.
bool takeToken(TokenBucket &bucket, MonoTime now);

/// Gives tokens to a peer and lowers the capacity while they are in transit.
/// \param bucket the lender's bucket.
/// \param wanted what the peer asks for.
/// \param now the current time.
/// \returns what the peer may have; zero when nothing can be spared.
MicroTokens lendTokens(TokenBucket &bucket, MicroTokens wanted, MonoTime now);

/// Adds a grant up to the capacity.
/// \param bucket the borrower's bucket.
/// \param granted what the lender gave.
/// \param requestedAt when the request was sent; an older grant is dropped.
/// \param now the current time.
/// \returns what was added.
MicroTokens depositTokens(TokenBucket &bucket, MicroTokens granted,
                          MonoTime requestedAt, MonoTime now);

/// Brings the level up to date.
void refillBucket(TokenBucket &bucket, MonoTime now);

/// \returns how long until one token is there at the bucket's own rate.
Duration timeToToken(const TokenBucket &bucket);

} // namespace savorylb

#endif // SAVORYLB_TOKEN_BUCKET_H
