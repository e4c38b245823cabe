// The file is not named after its header sequential_test.h, since the build
// takes
// *_test.cpp for unit tests.
#include "savorylb/sequential_test.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace savorylb {

namespace {

constexpr double LowestRate = 0.001;
constexpr double HighestRate = 0.98;

double logLikelihood(double good, double bad, double rate) {
  return bad * std::log(rate) + good * std::log1p(-rate);
}

// Likelihood ratio of "new fails at newRate, old at oldRate" over "both fail at
// the mean rate". With the mean weighted by the numbers of requests its
// expected value is at most one whatever the common rate is (Turner, Ly and
// Gruenwald, safe tests for 2x2 tables), so looking after each request is
// allowed.
double logRatio(const VersionCounts &counts, double newRate, double oldRate) {
  auto newTotal = static_cast<double>(counts.NewTotal);
  auto oldTotal = static_cast<double>(counts.OldTotal);
  auto newBad = static_cast<double>(counts.NewBad);
  auto oldBad = static_cast<double>(counts.OldBad);
  double mean =
      (newTotal * newRate + oldTotal * oldRate) / (newTotal + oldTotal);
  return logLikelihood(newTotal - newBad, newBad, newRate) +
         logLikelihood(oldTotal - oldBad, oldBad, oldRate) -
         logLikelihood(newTotal + oldTotal - newBad - oldBad, newBad + oldBad,
                       mean);
}

double raised(double rate, double rise) {
  return std::min(rate + rise, HighestRate + 0.01);
}

} // namespace

TestEvidence weighVersions(const VersionCounts &counts,
                           const TestLimits &limits) {
  TestEvidence evidence;
  evidence.OldRate = std::clamp(
      (static_cast<double>(counts.OldBad) + limits.OldWeight * limits.OldRate) /
          (static_cast<double>(counts.OldTotal) + limits.OldWeight),
      LowestRate, HighestRate);
  if (counts.NewTotal == 0)
    return evidence;
  // Larger rises find a version that fails outright with a few requests.
  const std::array<double, 4> rises{limits.Rise, 0.2, 0.5, 0.9};
  double before = std::clamp(limits.OldRate, LowestRate, HighestRate);
  auto newBad = static_cast<double>(counts.NewBad);
  double newGood = static_cast<double>(counts.NewTotal) - newBad;
  // The baseline speaks only where the old version has too few requests at the
  // same time; else it would blame the new version for a fault of both.
  bool oldIsRare = counts.OldTotal * 2 < counts.NewTotal;
  // Against the mean rate, good results of many old requests weigh as much for
  // a rise as good results of the new version weigh against it, and a version
  // without failures is never accepted. Where the old rate is known much better
  // than the new one, as at shares up to a fifth, the new requests alone are
  // weighed; at larger shares small routes would be accepted too early.
  bool oldIsKnown = counts.OldTotal >= counts.NewTotal * 4;
  double sum = 0;
  double baseline = 0;
  for (double rise : rises) {
    double ratio =
        logRatio(counts, raised(evidence.OldRate, rise), evidence.OldRate);
    sum += std::exp(std::min(ratio, 500.0));
    if (oldIsRare)
      baseline += std::exp(
          std::min(logLikelihood(newGood, newBad, raised(before, rise)) -
                       logLikelihood(newGood, newBad, before),
                   500.0));
    if (rise == limits.Rise)
      evidence.SmallestRise =
          oldIsKnown
              ? logLikelihood(newGood, newBad, raised(evidence.OldRate, rise)) -
                    logLikelihood(newGood, newBad, evidence.OldRate)
              : ratio;
  }
  evidence.Worse = std::log(sum / rises.size());
  if (oldIsRare)
    evidence.AgainstBaseline = std::log(baseline / rises.size());
  return evidence;
}

TestVerdict testVersions(const VersionCounts &counts,
                         const TestLimits &limits) {
  TestEvidence evidence = weighVersions(counts, limits);
  if (evidence.Worse >= std::log((1 - limits.Beta) / limits.Alpha))
    return TestVerdict::Worse;
  if (evidence.SmallestRise <= std::log(limits.Beta / (1 - limits.Alpha)))
    return TestVerdict::NoWorse;
  return TestVerdict::Undecided;
}

} // namespace savorylb
