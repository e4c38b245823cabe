#ifndef SAVORYLB_EVIDENCE_TESTS_H
#define SAVORYLB_EVIDENCE_TESTS_H

#include "savorylb/evidence_window.h"
#include "savorylb/version_counts.h"

namespace savorylb {

/// Tests of one route, or of all routes together.
struct EvidenceTests {
  /// Counts of this VM and of all peers.
  VersionCounts Failures;
  VersionCounts Slowness;
  EvidenceWindow FailureWindow;
  /// A tenth of the old version's requests is slow, since the threshold is its
  /// 90th percentile.
  EvidenceWindow SlownessWindow{{}, 0.10, 1, 0, false};
};

} // namespace savorylb

#endif // SAVORYLB_EVIDENCE_TESTS_H
