#include "savorylb/link_budget.h"
#include "savorylb/retry_budget.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(Budgets){};

// Guards against sending more than the VM's share of a link: a burst of at most
// 100 ms, then the rate, and a negative level is refilled first.
TEST(Budgets, LinkHoldsToItsShare) {
  LinkBudget link;
  MonoTime now{};
  setLinkShare(link, 10'000'000, Ppm(100'000), now);
  CHECK_FALSE(reserveBytes(link, 1, now));
  now += Seconds(10);
  CHECK(reserveBytes(link, 60'000, now));
  CHECK_FALSE(reserveBytes(link, 60'000, now));
  CHECK(reserveBytes(link, 40'000, now));
  settleBytes(link, 40'000, 50'000, now);
  now += Millis(10);
  CHECK_FALSE(reserveBytes(link, 1, now));
  now += Millis(1);
  CHECK(reserveBytes(link, 1'000, now));
}

// Guards against never sending a body that is larger than the bucket.
TEST(Budgets, LargeRequestNeedsFullLink) {
  LinkBudget link;
  MonoTime now{};
  setLinkShare(link, 1'000'000, WholePpm, now);
  now += Millis(99);
  CHECK_FALSE(reserveBytes(link, 500'000, now));
  now += Millis(1);
  CHECK(reserveBytes(link, 500'000, now));
  now += Millis(399);
  CHECK_FALSE(reserveBytes(link, 0, now));
  now += Millis(1);
  CHECK(reserveBytes(link, 0, now));
}

// Guards against retry storms: retries stay at a tenth of first attempts, and
// at most ten are saved up in a period without retries.
TEST(Budgets, RetriesAreATenth) {
  RetryBudget budget;
  for (int i = 0; i < 100'000; ++i)
    earnRetry(budget);
  int saved = 0;
  while (spendRetry(budget))
    ++saved;
  LONGS_EQUAL(10, saved);
  int spent = 0;
  for (int i = 0; i < 1000; ++i) {
    earnRetry(budget);
    spent += spendRetry(budget) ? 1 : 0;
  }
  LONGS_EQUAL(100, spent);
}
