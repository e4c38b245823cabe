#include "rollout_sim.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdio>

using namespace savorylb;

namespace {

constexpr std::uint64_t Seed = 1000;

using IsBad = std::function<bool(const SimRequest &, std::mt19937_64 &)>;

struct CampaignResult {
  int RolledBack = 0;
  int Done = 0;
  int MedianBad = 0;
  int WorstBad = 0;
};

// Simulates seeded rollouts whose new version fails, or takes `factor` times as
// long, for the requests that `isBad` selects.
CampaignResult runCampaign(const char *name, int runs, double factor,
                           const IsBad &isBad) {
  CampaignResult result;
  std::vector<int> bad;
  for (int i = 0; i < runs; ++i) {
    Rollout rollout = makeSimRollout(120);
    int count = 0;
    SimResult run =
        simulateRollout(rollout, Seed + static_cast<std::uint64_t>(i), 120,
                        [&](const SimRequest &request, std::mt19937_64 &rng) {
                          SimOutcome outcome = serveHealthy(request, rng);
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
    result.RolledBack += run.Phase == RolloutPhase::RolledBack ? 1 : 0;
    result.Done += run.Phase == RolloutPhase::Done ? 1 : 0;
  }
  std::sort(bad.begin(), bad.end());
  result.MedianBad = bad[bad.size() / 2];
  result.WorstBad = bad.back();
  std::printf("%-24s seeds %llu+%d: rolled back %d, done %d, bad requests "
              "median %d, worst %d\n",
              name, static_cast<unsigned long long>(Seed), runs,
              result.RolledBack, result.Done, result.MedianBad,
              result.WorstBad);
  return result;
}

} // namespace

TEST_GROUP(RolloutSim){};

// Guards against rollbacks of good versions: fewer than 1%.
TEST(RolloutSim, GoodVersionsAreKept) {
  CampaignResult result =
      runCampaign("good", 2000, 1,
                  [](const SimRequest &, std::mt19937_64 &) { return false; });
  CHECK(result.RolledBack < 20);
}

// Guards against good versions that miss their deadline.
TEST(RolloutSim, GoodVersionsFinishInTime) {
  int done = 0;
  int afterSchedule = 0;
  for (int i = 0; i < 200; ++i) {
    Rollout rollout = makeSimRollout(600);
    SimResult run = simulateRollout(
        rollout, Seed + static_cast<std::uint64_t>(i), 600, serveHealthy);
    done += run.Phase == RolloutPhase::Done ? 1 : 0;
    // The schedule ends at 0.8 of 600 s, after 48,000 requests at 100 a second.
    afterSchedule += run.Requests > 48'000 ? 1 : 0;
  }
  std::printf("seeds %llu+200: done %d, after the schedule %d\n",
              static_cast<unsigned long long>(Seed), done, afterSchedule);
  LONGS_EQUAL(200, done);
}

// Guards against bad versions that are not rolled back or receive many
// requests.
TEST(RolloutSim, BadVersionsAreRolledBack) {
  auto always = [](const SimRequest &, std::mt19937_64 &) { return true; };
  CampaignResult atOnce = runCampaign("fails", 100, 1, always);
  LONGS_EQUAL(100, atOnce.RolledBack);
  CHECK(atOnce.WorstBad <= 20);
  CampaignResult slow = runCampaign("three times as slow", 100, 3, always);
  LONGS_EQUAL(100, slow.RolledBack);
  CHECK(slow.WorstBad <= 50);
  CampaignResult fifth = runCampaign(
      "fails one in five", 100, 1,
      [](const SimRequest &, std::mt19937_64 &rng) { return rng() % 5 == 0; });
  LONGS_EQUAL(100, fifth.RolledBack);
  CampaignResult oneRoute =
      runCampaign("fails on one route", 100, 1,
                  [](const SimRequest &request, std::mt19937_64 &) {
                    return request.Route == 3;
                  });
  LONGS_EQUAL(100, oneRoute.RolledBack);
  CHECK(oneRoute.WorstBad <= 20);
  // Two requests in a hundred hardly affect the counts of all routes.
  CampaignResult smallRoute =
      runCampaign("fails on a small route", 100, 1,
                  [](const SimRequest &request, std::mt19937_64 &) {
                    return request.Route == 8;
                  });
  LONGS_EQUAL(100, smallRoute.RolledBack);
  CHECK(smallRoute.WorstBad <= 20);
  CampaignResult load =
      runCampaign("slow under load", 100, 3,
                  [](const SimRequest &request, std::mt19937_64 &) {
                    return request.Share >= Ppm(500'000);
                  });
  LONGS_EQUAL(0, load.Done);
}

// Guards against missing a fault that begins at full share after the version
// was accepted: a long good history and the lack of requests to the old version
// could hide it.
TEST(RolloutSim, LateFaultAtFullShareIsFound) {
  for (double factor : {1.0, 3.0}) {
    CampaignResult late = runCampaign(
        factor > 1 ? "slow at full share" : "fails at full share", 100, factor,
        [](const SimRequest &request, std::mt19937_64 &) {
          return request.Share == WholePpm;
        });
    LONGS_EQUAL(0, late.Done);
    CHECK(late.RolledBack >= 95);
    // At 100 requests a second, 200 requests are the 2 s in which a bad
    // version must be stopped.
    CHECK(late.WorstBad <= 200);
  }
}

// Guards against keeping a version that turns bad between the last step and the
// deadline, because the rollout was recorded as done too early.
TEST(RolloutSim, FaultBeforeTheDeadlineIsFound) {
  for (double factor : {1.0, 3.0})
    for (int begin : {6'500, 8'500, 10'000}) {
      CampaignResult late =
          runCampaign("late fault", 20, factor,
                      [&](const SimRequest &request, std::mt19937_64 &) {
                        return request.Number >= begin;
                      });
      LONGS_EQUAL(0, late.Done);
      CHECK(late.RolledBack >= 19);
      // At 100 requests a second, 200 requests are the 2 s in which a bad
      // version must be stopped.
      CHECK(late.WorstBad <= 200);
    }
}

// Guards against a rollback because of a fault of the whole region.
TEST(RolloutSim, RegionWideFaultIsNotBlamed) {
  for (bool slow : {false, true})
    for (int begin = 500; begin < 9000; begin += 1000) {
      int rolledBack = 0;
      for (int i = 0; i < 10; ++i) {
        Rollout rollout = makeSimRollout(120);
        SimResult run = simulateRollout(
            rollout, Seed + static_cast<std::uint64_t>(i), 120,
            [&](const SimRequest &request, std::mt19937_64 &rng) {
              SimOutcome outcome = serveHealthy(request, rng);
              if (request.Number > begin && request.Number < begin + 1500) {
                outcome.Failed = outcome.Failed || (!slow && rng() % 10 < 8);
                outcome.Took *= slow ? 4 : 1;
              }
              return outcome;
            });
        rolledBack += run.Phase == RolloutPhase::RolledBack ? 1 : 0;
      }
      LONGS_EQUAL(0, rolledBack);
    }
}

// Guards against missing a late fault because of a long good history or an
// outdated latency threshold, and against a full share without control
// requests.
TEST(RolloutSim, LongGoodHistoryDoesNotHideALateFault) {
  for (bool slow : {false, true}) {
    Rollout rollout = makeSimRollout(60);
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
      // Both versions become slower early on.
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
