#include "rollout_sim.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdio>

using namespace savorylb;

namespace {

constexpr std::uint64_t Seed = 1000;

using IsBad = std::function<bool(const SimRequest &, std::mt19937_64 &)>;

struct Campaign {
  int TakenBack = 0;
  int Done = 0;
  int MedianBad = 0;
  int WorstBad = 0;
};

// Runs seeded rollouts whose new version fails, or takes `factor` times as
// long, where `isBad` says so.
Campaign campaign(const char *name, int runs, double factor,
                  const IsBad &isBad) {
  Campaign result;
  std::vector<int> bad;
  for (int i = 0; i < runs; ++i) {
    Rollout rollout = simRollout(120);
    int count = 0;
    SimResult run =
        simulate(rollout, Seed + static_cast<std::uint64_t>(i), 120,
                 [&](const SimRequest &request, std::mt19937_64 &rng) {
                   SimOutcome outcome = simGood(request, rng);
                   if (request.IsNew && isBad(request, rng)) {
                     ++count;
                     if (factor > 1)
                       outcome.Took = simLatency(rng, factor);
                     else
                       outcome.Failed = true;
                   }
                   return outcome;
                 });
    bad.push_back(count);
    result.TakenBack += run.Phase == RolloutPhase::TakenBack ? 1 : 0;
    result.Done += run.Phase == RolloutPhase::Done ? 1 : 0;
  }
  std::sort(bad.begin(), bad.end());
  result.MedianBad = bad[bad.size() / 2];
  result.WorstBad = bad.back();
  std::printf("%-24s seeds %llu+%d: taken back %d, done %d, bad requests "
              "median %d, worst %d\n",
              name, static_cast<unsigned long long>(Seed), runs,
              result.TakenBack, result.Done, result.MedianBad, result.WorstBad);
  return result;
}

} // namespace

TEST_GROUP(RolloutSim){};

// Guards against good versions taken back by mistake: below 1%.
TEST(RolloutSim, GoodVersionsAreKept) {
  Campaign result =
      campaign("good", 2000, 1,
               [](const SimRequest &, std::mt19937_64 &) { return false; });
  CHECK(result.TakenBack < 20);
}

// Guards against good versions that miss their deadline.
TEST(RolloutSim, GoodVersionsArriveInTime) {
  int done = 0;
  int atSchedule = 0;
  for (int i = 0; i < 200; ++i) {
    Rollout rollout = simRollout(600);
    SimResult run =
        simulate(rollout, Seed + static_cast<std::uint64_t>(i), 600, simGood);
    done += run.Phase == RolloutPhase::Done ? 1 : 0;
    atSchedule += run.Requests > 48'000 ? 1 : 0;
  }
  std::printf("seeds %llu+200: done %d, after the schedule %d\n",
              static_cast<unsigned long long>(Seed), done, atSchedule);
  LONGS_EQUAL(200, done);
}

// Guards against bad versions of all kinds that stay or get many requests.
TEST(RolloutSim, BadVersionsAreTakenBack) {
  auto always = [](const SimRequest &, std::mt19937_64 &) { return true; };
  Campaign atOnce = campaign("fails", 100, 1, always);
  LONGS_EQUAL(100, atOnce.TakenBack);
  CHECK(atOnce.WorstBad <= 20);
  Campaign slow = campaign("three times as slow", 100, 3, always);
  LONGS_EQUAL(100, slow.TakenBack);
  CHECK(slow.WorstBad <= 50);
  Campaign fifth = campaign(
      "fails one in five", 100, 1,
      [](const SimRequest &, std::mt19937_64 &rng) { return rng() % 5 == 0; });
  LONGS_EQUAL(100, fifth.TakenBack);
  Campaign oneRoute =
      campaign("fails on one route", 100, 1,
               [](const SimRequest &request, std::mt19937_64 &) {
                 return request.Route == 3;
               });
  LONGS_EQUAL(100, oneRoute.TakenBack);
  CHECK(oneRoute.WorstBad <= 20);
  // Two requests in a hundred are lost in the counts of all routes.
  Campaign smallRoute =
      campaign("fails on a small route", 100, 1,
               [](const SimRequest &request, std::mt19937_64 &) {
                 return request.Route == 8;
               });
  LONGS_EQUAL(100, smallRoute.TakenBack);
  CHECK(smallRoute.WorstBad <= 20);
  Campaign load = campaign("slow under load", 100, 3,
                           [](const SimRequest &request, std::mt19937_64 &) {
                             return request.Share >= Ppm(500'000);
                           });
  LONGS_EQUAL(0, load.Done);
}

// Guards against a fault that begins after the version was accepted and at full
// share, where a long good history and the lack of old requests could hide it.
TEST(RolloutSim, LateFaultAtFullShareIsFound) {
  for (double factor : {1.0, 3.0}) {
    Campaign late =
        campaign(factor > 1 ? "slow at full share" : "fails at full share", 100,
                 factor, [](const SimRequest &request, std::mt19937_64 &) {
                   return request.Share == WholePpm;
                 });
    LONGS_EQUAL(0, late.Done);
    CHECK(late.TakenBack >= 95);
    // At 100 requests a second, 200 are the two seconds of P7.
    CHECK(late.WorstBad <= 200);
  }
}

// Guards against a version that turns bad between the last step and the
// deadline and stays, because the rollout was recorded as done before.
TEST(RolloutSim, FaultBeforeTheDeadlineIsFound) {
  for (double factor : {1.0, 3.0})
    for (int begin : {6'500, 8'500, 10'000}) {
      Campaign late =
          campaign("late fault", 20, factor,
                   [&](const SimRequest &request, std::mt19937_64 &) {
                     return request.Number >= begin;
                   });
      LONGS_EQUAL(0, late.Done);
      CHECK(late.TakenBack >= 19);
      // At 100 requests a second, 200 are the two seconds of P7.
      CHECK(late.WorstBad <= 200);
    }
}

// Guards against blaming the new version for a fault of the whole region.
TEST(RolloutSim, RegionWideFaultIsNotBlamed) {
  for (bool slow : {false, true})
    for (int begin = 500; begin < 9000; begin += 1000) {
      int takenBack = 0;
      for (int i = 0; i < 10; ++i) {
        Rollout rollout = simRollout(120);
        SimResult run = simulate(
            rollout, Seed + static_cast<std::uint64_t>(i), 120,
            [&](const SimRequest &request, std::mt19937_64 &rng) {
              SimOutcome outcome = simGood(request, rng);
              if (request.Number > begin && request.Number < begin + 1500) {
                outcome.Failed = outcome.Failed || (!slow && rng() % 10 < 8);
                outcome.Took *= slow ? 4 : 1;
              }
              return outcome;
            });
        takenBack += run.Phase == RolloutPhase::TakenBack ? 1 : 0;
      }
      LONGS_EQUAL(0, takenBack);
    }
}

// Guards against a long good history, or a latency threshold from other times,
// that hides a late fault, and against a full share without control requests.
TEST(RolloutSim, LongGoodHistoryDoesNotHideALateFault) {
  for (bool slow : {false, true}) {
    Rollout rollout = simRollout(60);
    RolloutRecord record;
    record.Name = rollout.Spec.Name;
    record.Rev = Revision(1);
    record.Phase = RolloutPhase::Running;
    record.Share = slow ? Ppm(500'000) : WholePpm;
    record.Proven = true;
    adoptRecord(rollout, record);
    std::mt19937_64 rng(Seed);
    int oldRequests = 0;
    int bad = 0;
    for (int i = 0; i < 60'000 && !rollout.Stopped; ++i) {
      VersionId version = chooseVersion(rollout, RouteId("a"));
      bool isNew = version == rollout.Spec.To;
      // Both versions get slower in the first half.
      double factor = i < 1000 ? 1 : 4;
      bool isBad = isNew && i >= 50'000;
      oldRequests += !isNew && i < 50'000 ? 1 : 0;
      bad += isBad ? 1 : 0;
      observeResult(rollout, RouteId("a"), version,
                    isBad ? !slow : rng() % 100 == 0,
                    simLatency(rng, isBad ? factor * 3 : factor));
    }
    std::printf("seed %llu: %s after 50000 requests: %d bad, old %d\n",
                static_cast<unsigned long long>(Seed), slow ? "slow" : "fails",
                bad, oldRequests);
    CHECK(rollout.Stopped);
    CHECK(bad <= 100);
    CHECK(oldRequests >= 1000);
  }
}
