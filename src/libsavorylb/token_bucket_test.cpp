#include "savorylb/token_bucket.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>
#include <vector>

using namespace savorylb;

namespace {

/// A grant in transit. Its delivery may also end the lender's hold.
struct GrantInTransit {
  std::size_t From = 0;
  std::size_t To = 0;
  int FromIncarnation = 0;
  int ToIncarnation = 0;
  MicroTokens Amount;
  std::uint64_t Grant = 0;
  MonoTime RequestedAt;
  MonoTime ArrivesAt;
};

/// Share that one VM gave up and another VM gets at a later time.
struct ShareTransfer {
  std::size_t To = 0;
  std::int64_t Share = 0;
  MonoTime At;
};

/// Simulates a fleet in virtual time with random demand, token transfers, share
/// transfers and VMs that die.
struct Fleet {
  std::mt19937_64 Random;
  std::int64_t Rate = 0;
  std::int64_t Burst = 0;
  std::int64_t TakePercent = 0;
  std::int64_t BorrowPercent = 0;
  std::int64_t LongestStep = 0;
  MonoTime Now{Seconds(1000)};
  std::vector<TokenBucket> Buckets;
  std::vector<int> Incarnations;
  std::vector<GrantInTransit> GrantsInTransit;
  std::vector<ShareTransfer> ShareTransfers;
  std::vector<MonoTime> Admitted;

  explicit Fleet(std::uint64_t seed) : Random(seed) {
    Rate = below(3) == 0 ? below(100'000) + 1 : below(300) + 1;
    Burst = below(200) + 1;
    TakePercent = below(2) * below(60);
    BorrowPercent = below(96 - TakePercent);
    LongestStep = below(2) == 0 ? 20'000 : 200'000;
    Buckets.resize(below(3) == 0 ? below(30) + 2 : below(4) + 2);
    Incarnations.resize(Buckets.size());
    std::int64_t left = WholePpm.Value;
    for (std::size_t i = 0; i < Buckets.size(); ++i) {
      std::int64_t part = i + 1 == Buckets.size() ? left : below(left + 1) / 2;
      left -= part;
      setShare(Buckets[i], Rate, Burst, Ppm(part), Now);
    }
  }

  std::int64_t below(std::int64_t n) {
    return static_cast<std::int64_t>(Random() % static_cast<std::uint64_t>(n));
  }
  std::size_t randomVm() {
    return static_cast<std::size_t>(below(static_cast<int>(Buckets.size())));
  }

  void take(std::size_t vm, int times) {
    while (times-- > 0 && takeToken(Buckets[vm], Now))
      Admitted.push_back(Now);
  }

  void borrow() {
    GrantInTransit p;
    p.From = randomVm();
    p.To = randomVm();
    p.RequestedAt = Now - Millis(below(30));
    p.Amount = lendTokens(Buckets[p.From], MicroTokens(below(30'000'000)), Now);
    if (p.From == p.To || p.Amount == MicroTokens(0) || below(10) == 0)
      return;
    p.Grant = Buckets[p.From].LastGrant;
    p.FromIncarnation = Incarnations[p.From];
    p.ToIncarnation = Incarnations[p.To];
    p.ArrivesAt = Now + Duration(below(below(4) == 0 ? 4'000'000 : 20'000));
    GrantsInTransit.push_back(p);
  }

  void moveShare() {
    std::size_t vm = randomVm();
    std::int64_t part = below(3) == 0 ? Buckets[vm].Share.Value
                                      : below(Buckets[vm].Share.Value + 1);
    bool dies = below(4) == 0;
    if (dies) {
      part = Buckets[vm].Share.Value;
      Buckets[vm] = TokenBucket();
      ++Incarnations[vm];
    } else {
      setShare(Buckets[vm], Rate, Burst, Buckets[vm].Share - Ppm(part), Now);
    }
    ShareTransfers.push_back(
        {randomVm(), part, Now + Millis(below(2) * below(500))});
  }

  void deliver() {
    for (std::size_t i = 0; i < GrantsInTransit.size();) {
      GrantInTransit p = GrantsInTransit[i];
      if (p.ArrivesAt > Now) {
        ++i;
        continue;
      }
      GrantsInTransit.erase(GrantsInTransit.begin() +
                            static_cast<std::ptrdiff_t>(i));
      if (p.ToIncarnation != Incarnations[p.To])
        continue;
      depositTokens(Buckets[p.To], p.Amount, p.RequestedAt, Now);
      if (Buckets[p.To].Borrowed == MicroTokens(0) && below(2) == 0 &&
          p.FromIncarnation == Incarnations[p.From])
        releaseHold(Buckets[p.From], p.Grant, Now);
    }
    for (std::size_t i = 0; i < ShareTransfers.size();) {
      ShareTransfer m = ShareTransfers[i];
      if (m.At > Now) {
        ++i;
        continue;
      }
      ShareTransfers.erase(ShareTransfers.begin() +
                           static_cast<std::ptrdiff_t>(i));
      setShare(Buckets[m.To], Rate, Burst, Buckets[m.To].Share + Ppm(m.Share),
               Now);
    }
  }

  /// Runs one random event. The mix differs by seed: single requests use up
  /// tokens that a burst could use, so some fleets have bursts only.
  void step() {
    Now += Duration(below(60) == 0 ? below(3'000'000) : below(LongestStep));
    deliver();
    std::int64_t kind = below(100);
    if (kind < TakePercent)
      take(randomVm(), 1);
    else if (kind < TakePercent + BorrowPercent)
      borrow();
    else if (kind < 97)
      moveShare();
    else
      drainAll();
  }

  /// Takes all available tokens and all that arrive soon after.
  void drainAll() {
    for (std::int64_t left = below(40); left >= 0; --left) {
      for (std::size_t vm = 0; vm < Buckets.size(); ++vm)
        take(vm, 1'000'000);
      Now += Duration(below(100'000));
      deliver();
    }
  }

  /// Replays the admitted requests on a reference: one bucket with the whole
  /// rate and burst, which refuses a request exactly when some window has too
  /// many. One request a second is one micro-token a microsecond, so the
  /// reference has no rounding.
  /// \returns the index of the first request that the reference refuses, or -1.
  long firstOverLimit() const {
    std::int64_t full = Burst * OneToken.Value;
    std::int64_t level = full;
    MonoTime last{Seconds(1000)};
    for (std::size_t i = 0; i < Admitted.size(); ++i) {
      level = std::min(full, level + Rate * (Admitted[i] - last).count());
      last = Admitted[i];
      level -= OneToken.Value;
      if (level < 0)
        return static_cast<long>(i);
    }
    return -1;
  }
};

const MonoTime Start{Seconds(5)};

/// \returns a bucket that is full at the time Start.
TokenBucket fullBucket(std::int64_t rate, std::int64_t burst, Ppm share) {
  TokenBucket bucket;
  setShare(bucket, rate, burst, share, Start - Seconds(3600));
  refillBucket(bucket, Start);
  return bucket;
}

} // namespace

TEST_GROUP(TokenBucket){};

// Guards against a team that exceeds its rate and burst in some window by even
// one request, under any interleaving of token transfers, share transfers and
// deaths of VMs.
TEST(TokenBucket, FleetNeverExceedsRateAndBurst) {
  std::size_t admitted = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    Fleet fleet(seed);
    for (int i = 0; i < 1000; ++i)
      fleet.step();
    long over = fleet.firstOverLimit();
    CHECK_TEXT(over < 0,
               StringFromFormat("seed %lu: request %ld is over",
                                static_cast<unsigned long>(seed), over)
                   .asCharString());
    admitted += fleet.Admitted.size();
  }
  CHECK(admitted > 100'000);
}

// Guards against lost fractions in refills and against overflow.
TEST(TokenBucket, RefillIsExact) {
  TokenBucket bucket;
  MonoTime now{};
  setShare(bucket, 9'999'991, 50'000'000'000, Ppm(333'333), now);
  bucket.Holds.clear();
  bucket.Held = MicroTokens(0);
  TokenBucket once = bucket;
  while (now < MonoTime(Seconds(3600)))
    refillBucket(bucket, now += Duration(9'973));
  __extension__ __int128 exact = __int128(9'999'991) * 333'333 *
                                 now.time_since_epoch().count() / 1'000'000;
  LONGS_EQUAL(static_cast<std::int64_t>(exact), bucket.Level.Value);
  refillBucket(once, now);
  LONGS_EQUAL(bucket.Level.Value, once.Level.Value);
  LONGS_EQUAL(bucket.RefillRemainder, once.RefillRemainder);
}

// Guards against filling capacity that was on hold with tokens from before the
// hold ended, and against a fractional remainder in a full bucket.
TEST(TokenBucket, HeldCapacityFillsOnlyAfterwards) {
  TokenBucket bucket;
  setShare(bucket, 1, 10, Ppm(333'333), Start);
  refillBucket(bucket, Start + GrowthHoldTime + Duration(4));
  LONGS_EQUAL(1, bucket.Level.Value);
  refillBucket(bucket, Start + Seconds(3600));
  LONGS_EQUAL(bucket.Capacity.Value, bucket.Level.Value);
  LONGS_EQUAL(0, bucket.RefillRemainder);
  // Only the part of the growth that moves on to another VM loses its hold.
  MonoTime later = Start + Seconds(3600);
  setShare(bucket, 1, 10, Ppm(733'333), later);
  setShare(bucket, 1, 10, Ppm(633'333), later);
  LONGS_EQUAL(3'000'000, bucket.Held.Value);
}

// Guards against using a grant after the lender's hold for it has ended.
TEST(TokenBucket, DropsLateGrants) {
  TokenBucket bucket = fullBucket(10, 100, WholePpm);
  bucket.Level = MicroTokens(0);
  MicroTokens grant = OneToken + OneToken;
  LONGS_EQUAL(0, depositTokens(bucket, grant,
                               Start - GrantLifetime - Duration(1), Start)
                     .Value);
  LONGS_EQUAL(grant.Value,
              depositTokens(bucket, grant, Start - GrantLifetime, Start).Value);
}

// Guards against a busy lender that lends tokens it needs itself, and against
// an idle one that keeps unused tokens.
TEST(TokenBucket, LenderKeepsItsForecast) {
  TokenBucket busy = fullBucket(100, 100, WholePpm);
  MonoTime now = Start;
  for (int i = 0; i < 200; ++i)
    CHECK(takeToken(busy, now += Millis(10)));
  MicroTokens before = busy.Level;
  MicroTokens lent = lendTokens(busy, MicroTokens(1'000'000'000), now);
  CHECK(lent > MicroTokens(0));
  CHECK((before - lent).Value >= 19 * OneToken.Value);
  TokenBucket idle = fullBucket(100, 100, WholePpm);
  LONGS_EQUAL(100 * OneToken.Value,
              lendTokens(idle, MicroTokens(1'000'000'000), Start).Value);
}

// Guards against holds that remain after a grant was confirmed, which would
// limit lending to one capacity in two seconds, and against ending a hold
// twice.
TEST(TokenBucket, ConfirmedGrantEndsItsHold) {
  TokenBucket lender = fullBucket(1000, 10, WholePpm);
  LONGS_EQUAL(10 * OneToken.Value,
              lendTokens(lender, MicroTokens(20'000'000), Start).Value);
  refillBucket(lender, Start + Millis(100));
  LONGS_EQUAL(0, lender.Level.Value);
  CHECK(releaseHold(lender, lender.LastGrant, Start + Millis(100)));
  CHECK_FALSE(releaseHold(lender, lender.LastGrant, Start + Millis(100)));
  CHECK_FALSE(releaseHold(lender, 0, Start + Millis(100)));
  refillBucket(lender, Start + Millis(110));
  LONGS_EQUAL(10 * OneToken.Value, lender.Level.Value);
}

// Guards against a burst that no VM can use because the share of each VM is
// below one token.
TEST(TokenBucket, SharesBelowOneTokenAddUpByBorrowing) {
  std::vector<TokenBucket> fleet(40, fullBucket(100, 20, Ppm(25'000)));
  CHECK_FALSE(takeToken(fleet[0], Start));
  int admitted = 0;
  for (std::size_t peer = 1; peer < fleet.size(); ++peer) {
    MicroTokens lent = lendTokens(fleet[peer], OneToken, Start);
    LONGS_EQUAL(lent.Value, depositTokens(fleet[0], lent, Start, Start).Value);
    admitted += takeToken(fleet[0], Start) ? 1 : 0;
  }
  LONGS_EQUAL(20, admitted);
  // A borrowed part of a token expires with its grant.
  TokenBucket &last = fleet[5];
  MonoTime later = Start + Seconds(10);
  depositTokens(last, MicroTokens(400'000), later, later);
  LONGS_EQUAL(400'000, last.Borrowed.Value);
  refillBucket(last, later + GrantLifetime + Duration(1));
  LONGS_EQUAL(0, last.Borrowed.Value);
}
