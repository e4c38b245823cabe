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

} // namespace savorylb

#endif // SAVORYLB_SEQUENTIAL_TEST_H
