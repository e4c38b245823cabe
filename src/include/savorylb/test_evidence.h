#ifndef SAVORYLB_TEST_EVIDENCE_H
#define SAVORYLB_TEST_EVIDENCE_H

namespace savorylb {

/// Log-likelihood ratios that a sequential test compares with its thresholds.
struct TestEvidence {
  /// Logarithm of the likelihood ratio of "worse" to "the same", averaged over
  /// several effect sizes, compared with the old version over the same period.
  double WorseLogRatio = 0;
  /// The same for the smallest effect size only; low values accept the new
  /// version as no worse.
  double SmallestIncreaseLogRatio = 0;
  /// The new version compared with the prior rate of the old version, without
  /// requests of the old version over the same period. It can make the new
  /// version suspect but never stops it. Zero where the old version has enough
  /// requests.
  double BaselineLogRatio = 0;
  /// Estimated rate of bad results of the old version.
  double OldRate = 0;
};

} // namespace savorylb

#endif // SAVORYLB_TEST_EVIDENCE_H
