#include "rollout_stage.h"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <random>

using namespace savorylb;

namespace {

constexpr Duration Window = Seconds(14);
constexpr double PerSecond = 250;

struct PlayedRollout {
  double Requests = 0;
  double ToCandidate = 0;
  bool FoundBad = false;
  bool Complete = false;
};

/// Plays a rollout whose new version fails by the given rule; evidence reaches
/// the decision a second late.
PlayedRollout play(const std::function<bool(Duration, double)> &fails) {
  std::mt19937_64 random(5);
  std::uniform_real_distribution<double> draw(0, 1);
  RolloutEvidence evidence;
  RolloutEvidence late;
  PlayedRollout played;
  Duration step(static_cast<Duration::rep>(1e6 / PerSecond));
  Duration judged(0);
  for (Duration at(0); at < Window; at += step) {
    played.Requests += 1;
    RolloutStep plan = planRollout(at, Window);
    bool candidate = !played.FoundBad && draw(random) < plan.Share;
    RouteTally &tally = evidence[RouteId("r")];
    VersionTally &version = candidate ? tally.Candidate : tally.Baseline;
    ++version.Responses;
    if (candidate) {
      played.ToCandidate += 1;
      version.Failures += fails(at, draw(random));
    }
    if (at - judged > Seconds(1)) {
      played.FoundBad = played.FoundBad || candidateIsBad(late);
      late = evidence;
      judged = at;
    }
    played.Complete = played.Complete || (plan.Complete && !played.FoundBad);
  }
  return played;
}

} // namespace

TEST_GROUP(RolloutStage){};

// Guards against a good version that misses its deadline.
TEST(RolloutStage, GoodVersionIsCompleteInTime) {
  PlayedRollout played = play([](Duration, double) { return false; });
  CHECK_FALSE(played.FoundBad);
  CHECK_TRUE(played.Complete);
}

// Guards against a bad version that gets more than a tenth of the requests,
// whether it fails at once or three seconds later.
TEST(RolloutStage, BadVersionGetsLittle) {
  for (Duration from : {Duration(0), Duration(Seconds(3))}) {
    PlayedRollout played = play([from](Duration at, double drawn) {
      return at >= from && drawn < 0.45;
    });
    CHECK_TRUE(played.FoundBad);
    CHECK_FALSE(played.Complete);
    CHECK_TRUE(played.ToCandidate <= 0.1 * played.Requests + 50);
  }
}

// Guards against a fault on one small route that the others hide.
TEST(RolloutStage, OneBadRouteIsEnough) {
  RolloutEvidence evidence;
  evidence[RouteId("large")] = {{400, 0, 0}, {4000, 2, 0}};
  evidence[RouteId("small")] = {{12, 6, 0}, {120, 0, 0}};
  CHECK_TRUE(candidateIsBad(evidence));
}

// Guards against a version that is only slow.
TEST(RolloutStage, SlowVersionIsBad) {
  RolloutEvidence evidence;
  evidence[RouteId("r")] = {{30, 0, 14}, {300, 0, 20}};
  CHECK_TRUE(candidateIsBad(evidence));
}

// Guards against a verdict on a version that is no worse than the old one
// while both suffer.
TEST(RolloutStage, FaultsOfBothVersionsAreNoVerdict) {
  RolloutEvidence evidence;
  evidence[RouteId("r")] = {{30, 10, 15}, {300, 95, 150}};
  CHECK_FALSE(candidateIsBad(evidence));
}

// Guards against a trial above the share that a deployment allows.
TEST(RolloutStage, TrialStaysBelowTheAllowedShare) {
  for (double bound : {0.02, 0.05, 0.1})
    CHECK_TRUE(planRollout(Seconds(1), Window, bound).Share < bound);
}
