#ifndef SAVORYLB_TEST_LIMITS_H
#define SAVORYLB_TEST_LIMITS_H

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

} // namespace savorylb

#endif // SAVORYLB_TEST_LIMITS_H
