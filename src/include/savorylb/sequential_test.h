#ifndef SAVORYLB_SEQUENTIAL_TEST_H
#define SAVORYLB_SEQUENTIAL_TEST_H

#include "savorylb/test_evidence.h"
#include "savorylb/test_limits.h"
#include "savorylb/test_verdict.h"
#include "savorylb/version_counts.h"

namespace savorylb {

/// Sequential probability ratio test of the new version's bad rate against
/// the old version's at the same time.
/// \param counts what was seen so far.
/// \param limits error rates and effect size.
/// \returns the verdict.
TestVerdict testVersions(const VersionCounts &counts, const TestLimits &limits);

/// \param counts what was seen so far.
/// \param limits error rates, effect size and earlier rate of the old version.
/// \returns the figures of the test.
TestEvidence weighVersions(const VersionCounts &counts,
                           const TestLimits &limits);

} // namespace savorylb

#endif // SAVORYLB_SEQUENTIAL_TEST_H
