#include "rollout_stage.h"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>

namespace savorylb {
namespace {

/// Fractions of the window after which the share rises. The trial is long
/// because some faults appear late.
constexpr double TrialEnd = 0.55;
constexpr double WidenedEnd = 0.65;
/// Requests of a trial that suffice to judge a version.
constexpr double WantedTrialRequests = 50;
/// Share of the requests from TrialEnd to WidenedEnd.
constexpr double WidenedShare = 0.25;
/// Fraction of the window after which the rollout is complete; the time after
/// FullEnd is left for requests at the old targets to finish.
constexpr double FullEnd = 0.86;

/// Minimum number of responses and of bad responses for judging a version.
constexpr std::int64_t MinResponses = 8;
constexpr std::int64_t MinBad = 4;
/// How much more often than the old version a good one may fail or be slow. The
/// targets of a trial have just started, cache nothing and are busier than the
/// others, and are therefore slower.
constexpr double FailureTolerance = 0.01;
constexpr double SlowTolerance = 0.15;
/// A version is bad if a good one would show as many bad responses with less
/// than this probability.
constexpr double MaxFalseAlarm = 0.003;

/// \param bad bad responses of the new version, of `responses`.
/// \param oldBad bad responses of the old version, of `oldResponses`.
bool isMoreOften(std::int64_t bad, std::int64_t responses, std::int64_t oldBad,
                 std::int64_t oldResponses, double tolerance) {
  if (bad < MinBad)
    return false;
  // The estimate is cautious while there are few responses of the old version.
  double oldRate =
      static_cast<double>(oldBad + 1) / static_cast<double>(oldResponses + 2);
  double expected = std::min(1.0, oldRate + tolerance);
  boost::math::binomial_distribution<double> good(
      static_cast<double>(responses), expected);
  // The probability of `bad` or more.
  return cdf(complement(good, static_cast<double>(bad - 1))) < MaxFalseAlarm;
}

bool newVersionIsWorse(const RouteTally &tally) {
  const VersionTally &newVersion = tally.NewVersion;
  const VersionTally &oldVersion = tally.OldVersion;
  if (newVersion.Responses < MinResponses)
    return false;
  return isMoreOften(newVersion.Failures, newVersion.Responses,
                     oldVersion.Failures, oldVersion.Responses,
                     FailureTolerance) ||
         isMoreOften(newVersion.Slow, newVersion.Responses, oldVersion.Slow,
                     oldVersion.Responses, SlowTolerance);
}

void add(VersionTally &sum, const VersionTally &more) {
  sum.Responses += more.Responses;
  sum.Failures += more.Failures;
  sum.Slow += more.Slow;
}

} // namespace

RolloutStep planRollout(Duration elapsed, Duration window,
                        const BadVersionLimits &limits) {
  double fraction = window.count() > 0 ? static_cast<double>(elapsed.count()) /
                                             static_cast<double>(window.count())
                                       : 1;
  if (fraction < TrialEnd) {
    double seconds = TrialEnd * static_cast<double>(window.count()) / 1e6;
    RolloutStep step;
    step.Share = TrialShareFraction * limits.Share;
    step.WantedPerSecond = WantedTrialRequests / seconds;
    step.ExtraPerSecond = TrialSlackFraction * limits.Slack / seconds;
    step.TargetSubset = true;
    return step;
  }
  RolloutStep step;
  step.TargetSubset = fraction < WidenedEnd;
  step.Share = step.TargetSubset ? WidenedShare : 1;
  step.Complete = fraction >= FullEnd;
  return step;
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
