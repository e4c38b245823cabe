// The build takes *_test.cpp for unit tests, so this file cannot be named after
// its header sequential_test.h.
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

// Log-likelihood ratio of "new fails at newRate, old at oldRate" to "both fail
// at the mean rate". With a mean weighted by the numbers of requests, the
// expected value of the likelihood ratio is at most one for every common rate
// (Turner, Ly and Gruenwald, safe tests for 2x2 tables), so the test may be
// evaluated after each request.
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

// The raised rate stays below 1, so that both logarithms are finite.
double raised(double rate, double increase) {
  return std::min(rate + increase, HighestRate + 0.01);
}

} // namespace

TestEvidence computeEvidence(const VersionCounts &counts,
                             const TestParameters &parameters) {
  TestEvidence evidence;
  evidence.OldRate = std::clamp(
      (static_cast<double>(counts.OldBad) +
       parameters.PriorWeight * parameters.PriorOldRate) /
          (static_cast<double>(counts.OldTotal) + parameters.PriorWeight),
      LowestRate, HighestRate);
  if (counts.NewTotal == 0)
    return evidence;
  // Larger increases detect a version that always fails with a few requests.
  const std::array<double, 4> increases{parameters.MinIncrease, 0.2, 0.5, 0.9};
  double before = std::clamp(parameters.PriorOldRate, LowestRate, HighestRate);
  auto newBad = static_cast<double>(counts.NewBad);
  double newGood = static_cast<double>(counts.NewTotal) - newBad;
  // The baseline is used only if the old version has too few requests over the
  // same period; otherwise it would blame the new version for a fault of both.
  bool oldIsRare = counts.OldTotal * 2 < counts.NewTotal;
  // If the old version has at least four times the requests of the new one, as
  // at shares up to a fifth, its rate is taken as known and only results of the
  // new version count. With the ratio to the mean rate, good results of so many
  // old requests would cancel good results of the new version, and a version
  // without failures would never be accepted. At larger shares the old rate is
  // too uncertain: routes with few requests would be accepted too early.
  bool oldIsKnown = counts.OldTotal >= counts.NewTotal * 4;
  double sum = 0;
  double baseline = 0;
  for (double increase : increases) {
    double ratio =
        logRatio(counts, raised(evidence.OldRate, increase), evidence.OldRate);
    // The limit of 500 keeps std::exp() finite.
    sum += std::exp(std::min(ratio, 500.0));
    if (oldIsRare)
      baseline += std::exp(
          std::min(logLikelihood(newGood, newBad, raised(before, increase)) -
                       logLikelihood(newGood, newBad, before),
                   500.0));
    if (increase == parameters.MinIncrease)
      evidence.SmallestIncreaseLogRatio =
          oldIsKnown ? logLikelihood(newGood, newBad,
                                     raised(evidence.OldRate, increase)) -
                           logLikelihood(newGood, newBad, evidence.OldRate)
                     : ratio;
  }
  evidence.WorseLogRatio = std::log(sum / increases.size());
  if (oldIsRare)
    evidence.BaselineLogRatio = std::log(baseline / increases.size());
  return evidence;
}

TestVerdict testVersions(const VersionCounts &counts,
                         const TestParameters &parameters) {
  TestEvidence evidence = computeEvidence(counts, parameters);
  if (evidence.WorseLogRatio >=
      std::log((1 - parameters.Beta) / parameters.Alpha))
    return TestVerdict::Worse;
  if (evidence.SmallestIncreaseLogRatio <=
      std::log(parameters.Beta / (1 - parameters.Alpha)))
    return TestVerdict::NoWorse;
  return TestVerdict::Undecided;
}

} // namespace savorylb
