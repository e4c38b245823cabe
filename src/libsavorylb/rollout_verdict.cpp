#include "rollout_verdict.h"

#include <cmath>
#include <string>

namespace savorylb {

namespace {

// Chance of stopping a good version, over all tests of a rollout.
constexpr double RolloutAlpha = 0.001;
// A twentieth more failures counts as bad. Slowness has a base rate of a tenth
// and needs a larger rise to be told apart with few requests.
constexpr double FailureRise = 0.05;
constexpr double SlownessRise = 0.10;
// Chance of suspecting a good version. A suspicion halts raises and brings old
// traffic back for comparison; it ends after some requests that speak against
// it.
constexpr double SuspicionAlpha = 0.02;
constexpr std::uint64_t ShortestSuspicion = 10;
// A test without a verdict is restarted, so that it does not drag a long
// history along.
constexpr std::uint64_t LongestTest = 1000;

std::string describe(const char *kind, const VersionCounts &counts) {
  return std::string(kind) + ": new " + std::to_string(counts.NewBad) + "/" +
         std::to_string(counts.NewTotal) + ", old " +
         std::to_string(counts.OldBad) + "/" + std::to_string(counts.OldTotal);
}

// Good results are tested in small groups to save time; bad ones at once.
constexpr std::uint64_t GroupSize = 4;

// Returns true when the new version is worse.
bool runTest(const VersionCounts &totals, EvidenceWindow &window, double rise,
             std::size_t tests, bool urgent, VersionCounts &counts) {
  if (!urgent && (totals.OldTotal + totals.NewTotal) % GroupSize != 0)
    return false;
  counts = subtractCounts(totals, window.Start);
  TestLimits limits;
  // The alphas of all tests of all rounds add up to RolloutAlpha, because
  // 1/(1*2) + 1/(2*3) + ... = 1; restarts then cost no extra false alarms.
  double round = window.Round;
  limits.Alpha =
      RolloutAlpha / (static_cast<double>(tests) * round * (round + 1));
  limits.Rise = rise;
  limits.OldRate = window.OldRate;
  TestEvidence evidence = weighVersions(counts, limits);
  if (evidence.Worse >= std::log((1 - limits.Beta) / limits.Alpha))
    return true;
  bool noWorse =
      evidence.SmallestRise <= std::log(limits.Beta / (1 - limits.Alpha));
  if (noWorse || counts.NewTotal >= LongestTest) {
    window.Start = totals;
    window.OldRate = evidence.OldRate;
    ++window.Round;
    window.Accepted += noWorse ? 1 : 0;
    window.Suspect = false;
    return false;
  }
  double suspicion = std::log((1 - limits.Beta) / limits.Alpha * RolloutAlpha /
                              SuspicionAlpha);
  if (evidence.Worse >= suspicion || evidence.AgainstBaseline >= suspicion)
    window.Suspect = true;
  else if (evidence.Worse < 0 && counts.NewTotal >= ShortestSuspicion)
    window.Suspect = false;
  return false;
}

bool runBoth(Rollout &rollout, EvidenceTests &tests, bool urgent,
             const char *where, const RouteId &route) {
  std::size_t number = 2 * (rollout.Routes.size() + 1);
  VersionCounts counts;
  const char *kind = "failures";
  bool worse = runTest(tests.Failures, tests.FailureWindow, FailureRise, number,
                       urgent, counts);
  if (!worse) {
    kind = "slowness";
    worse = runTest(tests.Slowness, tests.SlownessWindow, SlownessRise, number,
                    urgent, counts);
  }
  if (!worse)
    return false;
  rollout.Stopped = true;
  rollout.StopReason = where + route.Value + " " + describe(kind, counts);
  return true;
}

// A suspicion on a route without new requests since would never end.
void clearIdle(const VersionCounts &totals, EvidenceWindow &window) {
  if (totals.NewTotal == window.Start.NewTotal)
    window.Suspect = false;
}

void restart(EvidenceWindow &window, const VersionCounts &totals) {
  VersionCounts counts = subtractCounts(totals, window.Start);
  if (counts.NewTotal > 0)
    ++window.Round;
  TestLimits limits;
  limits.OldRate = window.OldRate;
  window.OldRate = weighVersions(counts, limits).OldRate;
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
              bool urgent) {
  if (runBoth(rollout, evidence.Tests, urgent, "route ", route))
    return true;
  int accepted = rollout.Pooled.FailureWindow.Accepted;
  if (runBoth(rollout, rollout.Pooled, urgent, "all routes", RouteId()))
    return true;
  if (rollout.Pooled.FailureWindow.Accepted > accepted)
    for (auto &item : rollout.Routes) {
      EvidenceTests &tests = item.second.Tests;
      clearIdle(tests.Failures, tests.FailureWindow);
      clearIdle(tests.Slowness, tests.SlownessWindow);
    }
  return false;
}

void restartTests(Rollout &rollout) {
  auto both = [](EvidenceTests &tests) {
    restart(tests.FailureWindow, tests.Failures);
    restart(tests.SlownessWindow, tests.Slowness);
  };
  for (auto &item : rollout.Routes)
    both(item.second.Tests);
  both(rollout.Pooled);
}

} // namespace savorylb
