#include "rollout_stage.h"

namespace savorylb {
namespace {

/// Fractions of the window after which the share rises. The trial is long
/// because some faults appear late.
constexpr double TrialEnd = 0.55;
constexpr double WidenedEnd = 0.65;
/// Share of the requests from TrialEnd to WidenedEnd.
constexpr double WidenedShare = 0.25;
/// Fraction of the window after which the rollout is complete; the time after
/// FullEnd is left for requests at the old targets to finish.
constexpr double FullEnd = 0.86;

/// Minimum number of responses and of bad responses for judging a version, and
/// the minimum difference between the rates of the two versions. Bad versions
/// fail or are slow on a large fraction of their requests.
constexpr std::int64_t MinResponses = 8;
constexpr std::int64_t MinBad = 4;
constexpr double FailureGap = 0.15;
constexpr double SlowGap = 0.3;

double rate(std::int64_t count, std::int64_t total) {
  return total > 0 ? static_cast<double>(count) / static_cast<double>(total)
                   : 0;
}

bool newVersionIsWorse(const RouteTally &tally) {
  const VersionTally &newVersion = tally.NewVersion;
  const VersionTally &oldVersion = tally.OldVersion;
  if (newVersion.Responses < MinResponses)
    return false;
  bool fails = newVersion.Failures >= MinBad &&
               rate(newVersion.Failures, newVersion.Responses) >
                   rate(oldVersion.Failures, oldVersion.Responses) + FailureGap;
  bool slow = newVersion.Slow >= MinBad &&
              rate(newVersion.Slow, newVersion.Responses) >
                  rate(oldVersion.Slow, oldVersion.Responses) + SlowGap;
  return fails || slow;
}

void add(VersionTally &sum, const VersionTally &more) {
  sum.Responses += more.Responses;
  sum.Failures += more.Failures;
  sum.Slow += more.Slow;
}

} // namespace

RolloutStep planRollout(Duration elapsed, Duration window, double maxBadShare) {
  double fraction = window.count() > 0 ? static_cast<double>(elapsed.count()) /
                                             static_cast<double>(window.count())
                                       : 1;
  if (fraction < TrialEnd)
    return {TrialFraction * maxBadShare, true, false};
  if (fraction < WidenedEnd)
    return {WidenedShare, false, false};
  return {1, false, fraction >= FullEnd};
}

bool newVersionIsBad(const RolloutEvidence &evidence) {
  RouteTally all;
  for (const auto &[route, tally] : evidence) {
    if (newVersionIsWorse(tally))
      return true;
    add(all.NewVersion, tally.NewVersion);
    add(all.OldVersion, tally.OldVersion);
  }
  return newVersionIsWorse(all);
}

void addEvidence(RolloutEvidence &sum, const RolloutEvidence &more) {
  for (const auto &[route, tally] : more) {
    add(sum[route].NewVersion, tally.NewVersion);
    add(sum[route].OldVersion, tally.OldVersion);
  }
}

} // namespace savorylb
