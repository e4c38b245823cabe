#include "rollout_verdict.h"

#include <cmath>
#include <string>

namespace savorylb {

namespace {

// Probability of stopping a good version, over all tests of a rollout.
constexpr double RolloutAlpha = 0.001;
// An increase of the failure rate by 0.05, such as from 0.01 to 0.06, counts as
// worse. Slowness has a base rate of 0.10, so a larger increase is needed to
// detect it with few requests.
constexpr double MinFailureIncrease = 0.05;
constexpr double MinSlownessIncrease = 0.10;
// Probability of suspecting a good version. While a version is suspect its
// share is not raised, and more requests go to the old version for comparison.
// The suspicion ends after a number of requests with evidence against it.
constexpr double SuspicionAlpha = 0.02;
constexpr std::uint64_t MinSuspectRequests = 10;
// A test without a verdict is restarted after this many requests, so that old
// results do not hide recent ones.
constexpr std::uint64_t MaxTestRequests = 1000;

std::string describeCounts(const char *kind, const VersionCounts &counts) {
  return std::string(kind) + ": new " + std::to_string(counts.NewBad) + "/" +
         std::to_string(counts.NewTotal) + ", old " +
         std::to_string(counts.OldBad) + "/" + std::to_string(counts.OldTotal);
}

// Good results are tested in groups to save CPU time, bad results immediately.
constexpr std::uint64_t TestGroupSize = 4;

// Returns true when the new version is worse.
bool runTest(const VersionCounts &totals, EvidenceWindow &window,
             double minIncrease, std::size_t tests, bool immediate,
             VersionCounts &counts) {
  if (!immediate && (totals.OldTotal + totals.NewTotal) % TestGroupSize != 0)
    return false;
  counts = subtractCounts(totals, window.Start);
  TestParameters parameters;
  // The alphas of all tests of all rounds add up to RolloutAlpha, because
  // 1/(1*2) + 1/(2*3) + ... = 1, so restarts do not cause more false positives.
  double round = window.Round;
  parameters.Alpha =
      RolloutAlpha / (static_cast<double>(tests) * round * (round + 1));
  parameters.MinIncrease = minIncrease;
  parameters.PriorOldRate = window.OldRate;
  TestEvidence evidence = computeEvidence(counts, parameters);
  if (evidence.WorseLogRatio >=
      std::log((1 - parameters.Beta) / parameters.Alpha))
    return true;
  bool noWorse = evidence.SmallestIncreaseLogRatio <=
                 std::log(parameters.Beta / (1 - parameters.Alpha));
  if (noWorse || counts.NewTotal >= MaxTestRequests) {
    window.Start = totals;
    window.OldRate = evidence.OldRate;
    ++window.Round;
    window.Accepted += noWorse ? 1 : 0;
    window.Suspect = false;
    return false;
  }
  double suspicion = std::log((1 - parameters.Beta) / parameters.Alpha *
                              RolloutAlpha / SuspicionAlpha);
  if (evidence.WorseLogRatio >= suspicion ||
      evidence.BaselineLogRatio >= suspicion)
    window.Suspect = true;
  else if (evidence.WorseLogRatio < 0 && counts.NewTotal >= MinSuspectRequests)
    window.Suspect = false;
  return false;
}

bool runTestPair(Rollout &rollout, EvidenceTests &tests, bool immediate,
                 const char *where, const RouteId &route) {
  std::size_t number = 2 * (rollout.Routes.size() + 1);
  VersionCounts counts;
  const char *kind = "failures";
  bool worse = runTest(tests.Failures, tests.FailureWindow, MinFailureIncrease,
                       number, immediate, counts);
  if (!worse) {
    kind = "slowness";
    worse = runTest(tests.Slowness, tests.SlownessWindow, MinSlownessIncrease,
                    number, immediate, counts);
  }
  if (!worse)
    return false;
  rollout.Stopped = true;
  rollout.StopReason = where + route.Value + " " + describeCounts(kind, counts);
  return true;
}

// Ends the suspicion on a route without further requests to the new version,
// which would otherwise never end.
void clearIdleSuspicion(const VersionCounts &totals, EvidenceWindow &window) {
  if (totals.NewTotal == window.Start.NewTotal)
    window.Suspect = false;
}

void restartWindow(EvidenceWindow &window, const VersionCounts &totals) {
  VersionCounts counts = subtractCounts(totals, window.Start);
  if (counts.NewTotal > 0)
    ++window.Round;
  TestParameters parameters;
  parameters.PriorOldRate = window.OldRate;
  window.OldRate = computeEvidence(counts, parameters).OldRate;
  window.Start = totals;
}

} // namespace

void addCounts(VersionCounts &to, const VersionCounts &counts) {
  to.OldTotal += counts.OldTotal;
  to.OldBad += counts.OldBad;
  to.NewTotal += counts.NewTotal;
  to.NewBad += counts.NewBad;
}

VersionCounts subtractCounts(const VersionCounts &from,
                             const VersionCounts &counts) {
  return {from.OldTotal - counts.OldTotal, from.OldBad - counts.OldBad,
          from.NewTotal - counts.NewTotal, from.NewBad - counts.NewBad};
}

bool runTests(Rollout &rollout, const RouteId &route, RouteEvidence &evidence,
              bool immediate) {
  if (runTestPair(rollout, evidence.Tests, immediate, "route ", route))
    return true;
  int accepted = rollout.Pooled.FailureWindow.Accepted;
  if (runTestPair(rollout, rollout.Pooled, immediate, "all routes", RouteId()))
    return true;
  if (rollout.Pooled.FailureWindow.Accepted > accepted)
    for (auto &item : rollout.Routes) {
      EvidenceTests &tests = item.second.Tests;
      clearIdleSuspicion(tests.Failures, tests.FailureWindow);
      clearIdleSuspicion(tests.Slowness, tests.SlownessWindow);
    }
  return false;
}

void restartTests(Rollout &rollout) {
  auto both = [](EvidenceTests &tests) {
    restartWindow(tests.FailureWindow, tests.Failures);
    restartWindow(tests.SlownessWindow, tests.Slowness);
  };
  for (auto &item : rollout.Routes)
    both(item.second.Tests);
  both(rollout.Pooled);
}

} // namespace savorylb
