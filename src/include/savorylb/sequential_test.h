#ifndef SAVORYLB_SEQUENTIAL_TEST_H
#define SAVORYLB_SEQUENTIAL_TEST_H

#include "savorylb/test_evidence.h"
#include "savorylb/test_parameters.h"
#include "savorylb/test_verdict.h"
#include "savorylb/version_counts.h"

namespace savorylb {

/// Runs a sequential probability ratio test that compares the rate of bad
/// results of the new version with that of the old version over the same
/// period.
TestVerdict testVersions(const VersionCounts &counts,
                         const TestParameters &parameters);

/// Computes the log-likelihood ratios of the test.
TestEvidence computeEvidence(const VersionCounts &counts,
                             const TestParameters &parameters);

} // namespace savorylb

#endif // SAVORYLB_SEQUENTIAL_TEST_H
