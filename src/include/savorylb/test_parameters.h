#ifndef SAVORYLB_TEST_PARAMETERS_H
#define SAVORYLB_TEST_PARAMETERS_H

namespace savorylb {

/// Error rates, effect size and prior of a sequential test.
struct TestParameters {
  /// Probability of a false positive: a good version is found worse.
  double Alpha = 0.001;
  /// Probability of a false negative: a bad version is accepted as no worse.
  double Beta = 0.05;
  /// Smallest absolute increase of the rate of bad results that counts as
  /// worse.
  double MinIncrease = 0.05;
  /// Rate of bad results of the old version before the counts began.
  double PriorOldRate = 0.01;
  /// Weight of PriorOldRate, as a number of requests of the old version.
  double PriorWeight = 20;
};

} // namespace savorylb

#endif // SAVORYLB_TEST_PARAMETERS_H
