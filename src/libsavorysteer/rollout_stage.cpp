#include "rollout_stage.h"

namespace savorylb {
namespace {

/// Fractions of the window after which the share rises. The trial is long
/// because some faults appear late; the time after FullEnd is left for requests
/// at the old targets to finish.
constexpr double TrialEnd = 0.55;
constexpr double WidenedEnd = 0.65;
constexpr double WidenedShare = 0.25;
constexpr double FullEnd = 0.86;

/// Minimum number of responses and of bad responses for judging a version, and
/// the minimum difference between the rates of the two versions. Bad versions
/// fail or are slow on a large fraction of their requests.
constexpr std::int64_t MinResponses = 8;
constexpr std::int64_t MinBad = 4;
constexpr double FailureGap = 0.15;
constexpr double SlowGap = 0.3;

double rate(std::int64_t fraction, std::int64_t all) {
  return all > 0 ? static_cast<double>(fraction) / static_cast<double>(all) : 0;
}

bool worse(const RouteTally &tally) {
  const VersionTally &now = tally.Candidate;
  const VersionTally &before = tally.Baseline;
  if (now.Responses < MinResponses)
    return false;
  bool fails = now.Failures >= MinBad &&
               rate(now.Failures, now.Responses) >
                   rate(before.Failures, before.Responses) + FailureGap;
  bool slow =
      now.Slow >= MinBad && rate(now.Slow, now.Responses) >
                                rate(before.Slow, before.Responses) + SlowGap;
  return fails || slow;
}

void add(VersionTally &sum, const VersionTally &more) {
  sum.Responses += more.Responses;
  sum.Failures += more.Failures;
  sum.Slow += more.Slow;
}

} // namespace

RolloutStep planRollout(Duration elapsed, Duration window, double bound) {
  double fraction = window.count() > 0 ? static_cast<double>(elapsed.count()) /
                                             static_cast<double>(window.count())
                                       : 1;
  if (fraction < TrialEnd)
    return {TrialFraction * bound, true, false};
  if (fraction < WidenedEnd)
    return {WidenedShare, false, false};
  return {1, false, fraction >= FullEnd};
}

bool candidateIsBad(const RolloutEvidence &evidence) {
  RouteTally all;
  for (const auto &[route, tally] : evidence) {
    if (worse(tally))
      return true;
    add(all.Candidate, tally.Candidate);
    add(all.Baseline, tally.Baseline);
  }
  return worse(all);
}

void addEvidence(RolloutEvidence &sum, const RolloutEvidence &more) {
  for (const auto &[route, tally] : more) {
    add(sum[route].Candidate, tally.Candidate);
    add(sum[route].Baseline, tally.Baseline);
  }
}

} // namespace savorylb
