#ifndef SAVORYLB_TEST_EVIDENCE_H
#define SAVORYLB_TEST_EVIDENCE_H

namespace savorylb {

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

} // namespace savorylb

#endif // SAVORYLB_TEST_EVIDENCE_H
