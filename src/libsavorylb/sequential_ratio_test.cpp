#include "savorylb/sequential_test.h"

#include <CppUTest/TestHarness.h>
#include <cmath>
#include <cstdio>
#include <random>

using namespace savorylb;

namespace {

constexpr std::uint64_t Seed = 4711;

struct Run {
  TestVerdict Verdict = TestVerdict::Undecided;
  int NewRequests = 0;
};

void observe(VersionCounts &counts, bool isNew, bool bad) {
  (isNew ? counts.NewTotal : counts.OldTotal) += 1;
  (isNew ? counts.NewBad : counts.OldBad) += bad ? 1 : 0;
}

// Tests after each request; one request in five goes to the new version.
Run runSequential(std::mt19937_64 &rng, double oldRate, double newRate) {
  std::uniform_real_distribution<double> uniform;
  VersionCounts counts;
  Run run;
  while (run.Verdict == TestVerdict::Undecided && run.NewRequests < 3000) {
    for (int i = 0; i < 5; ++i) {
      observe(counts, i == 4, uniform(rng) < (i == 4 ? newRate : oldRate));
      run.Verdict = testVersions(counts, TestParameters());
    }
    ++run.NewRequests;
  }
  return run;
}

// Two-sample test with a fixed size: a one-sided z test at alpha 0.001,
// evaluated once after 300 requests to the new version or, with `peek`, after
// each of them.
Run runFixed(std::mt19937_64 &rng, double oldRate, double newRate, bool peek) {
  std::uniform_real_distribution<double> uniform;
  VersionCounts c;
  Run run;
  while (run.NewRequests < 300 && run.Verdict != TestVerdict::Worse) {
    for (int i = 0; i < 5; ++i)
      observe(c, i == 4, uniform(rng) < (i == 4 ? newRate : oldRate));
    ++run.NewRequests;
    if (!peek && run.NewRequests < 300)
      continue;
    double a = static_cast<double>(c.NewBad) / static_cast<double>(c.NewTotal);
    double b = static_cast<double>(c.OldBad) / static_cast<double>(c.OldTotal);
    double p = static_cast<double>(c.NewBad + c.OldBad) /
               static_cast<double>(c.NewTotal + c.OldTotal);
    double sd = std::sqrt(p * (1 - p) *
                          (1.0 / static_cast<double>(c.NewTotal) +
                           1.0 / static_cast<double>(c.OldTotal)));
    if (sd > 0 && (a - b) / sd > 3.09)
      run.Verdict = TestVerdict::Worse;
  }
  return run;
}

} // namespace

TEST_GROUP(SequentialTest){};

// Guards against a rate of false positives above alpha when the test is
// evaluated after each request.
TEST(SequentialTest, PeekingKeepsAlpha) {
  std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
  for (double rate : {0.0, 0.01, 0.1}) {
    std::mt19937_64 rng(Seed);
    int worse = 0;
    int noWorse = 0;
    for (int i = 0; i < 2000; ++i) {
      TestVerdict verdict = runSequential(rng, rate, rate).Verdict;
      worse += verdict == TestVerdict::Worse ? 1 : 0;
      noWorse += verdict == TestVerdict::NoWorse ? 1 : 0;
    }
    std::printf("rate %.2f: worse %d, no worse %d of 2000\n", rate, worse,
                noWorse);
    // 2,000 runs at alpha 0.001 give 2 on average and more than 8 with a
    // chance of 0.03%.
    CHECK(worse <= 8);
    CHECK(noWorse > 1800);
  }
}

// Guards against detecting bad versions only after many requests, and compares
// with a test of a fixed size on the same seeds.
TEST(SequentialTest, FindsBadVersionsSoonerThanAFixedSample) {
  for (double rate : {0.01, 0.06, 0.2, 1.0}) {
    double requests[3] = {};
    int worse[3] = {};
    for (int kind = 0; kind < 3; ++kind) {
      std::mt19937_64 rng(Seed);
      for (int i = 0; i < 1000; ++i) {
        Run run = kind == 0 ? runSequential(rng, 0.01, rate)
                            : runFixed(rng, 0.01, rate, kind == 2);
        requests[kind] += run.NewRequests / 1000.0;
        worse[kind] += run.Verdict == TestVerdict::Worse ? 1 : 0;
      }
    }
    std::printf("new fails %.2f: sequential %d worse after %.1f, fixed %d "
                "after %.1f, fixed with peeking %d after %.1f\n",
                rate, worse[0], requests[0], worse[1], requests[1], worse[2],
                requests[2]);
    if (rate == 0.01) {
      CHECK(worse[0] <= 5);
      CHECK(worse[2] > 5);
    } else {
      // Beta is 0.05; the design allows no more misses because the old rate is
      // estimated.
      CHECK(worse[0] >= 950);
      CHECK(requests[0] < requests[1]);
    }
  }
}

// Guards against blaming the new version for a fault that affects both.
TEST(SequentialTest, RegionWideFaultIsNotBlamed) {
  CHECK(testVersions({90, 72, 10, 8}, TestParameters()) != TestVerdict::Worse);
  CHECK(testVersions({2, 2, 98, 98}, TestParameters()) != TestVerdict::Worse);
  CHECK(testVersions({0, 0, 50, 50}, TestParameters()) != TestVerdict::Worse);
  CHECK(testVersions({90, 1, 10, 9}, TestParameters()) == TestVerdict::Worse);
}

// Guards against never accepting a good version when neither version fails.
// planRollout() expects acceptance after 150 requests to the new version.
TEST(SequentialTest, VersionsWithoutFailuresAreAccepted) {
  CHECK(testVersions({2850, 0, 150, 0}, TestParameters()) ==
        TestVerdict::NoWorse);
  CHECK(testVersions({600, 0, 150, 0}, TestParameters()) ==
        TestVerdict::NoWorse);
  CHECK(testVersions({2850, 0, 10, 0}, TestParameters()) !=
        TestVerdict::NoWorse);
}
