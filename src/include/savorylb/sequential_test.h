#ifndef SAVORYLB_SEQUENTIAL_TEST_H
#define SAVORYLB_SEQUENTIAL_TEST_H

#include <cstdint>

namespace savorylb {

/// Error rates and effect sizes of the sequential test.
struct TestLimits {
  /// Chance of calling a good version bad.
  double Alpha = 0.001;
  /// Chance of calling a bad version no worse.
  double Beta = 0.05;
  /// Smallest rise of the failure rate that counts as bad.
  double Rise = 0.05;
  /// Bad rate of the old version known from before the counts.
  double OldRate = 0.01;
  /// How many requests of the old version that knowledge stands for.
  double OldWeight = 20;
};

enum class TestVerdict { Undecided, NoWorse, Worse };

/// Counts of one route and version pair.
struct VersionCounts {
  std::uint64_t OldTotal = 0;
  std::uint64_t OldBad = 0;
  std::uint64_t NewTotal = 0;
  std::uint64_t NewBad = 0;
};

/// Sequential probability ratio test of the new version's bad rate against
/// the old version's at the same time.
/// \param counts what was seen so far.
/// \param limits error rates and effect size.
/// \returns the verdict.
TestVerdict testVersions(const VersionCounts &counts, const TestLimits &limits);

/// Evidence that testVersions() compares with its limits.
struct TestEvidence {
  /// Logarithm of the likelihood ratio "worse" over "the same", averaged over
  /// several rises, with the old version at the same time as reference.
  double Worse = 0;
  /// The same for the smallest rise only, to accept "no worse".
  double SmallestRise = 0;
  /// The new version against OldRate alone, without requests of the old version
  /// at the same time; a reason to look closer, never to stop. Zero where the
  /// old version has enough requests.
  double AgainstBaseline = 0;
  /// Estimated bad rate of the old version.
  double OldRate = 0;
};

/// \param counts what was seen so far.
/// \param limits error rates, effect size and earlier rate of the old version.
/// \returns the figures of the test.
TestEvidence weighVersions(const VersionCounts &counts,
                           const TestLimits &limits);

} // namespace savorylb

#endif // SAVORYLB_SEQUENTIAL_TEST_H
