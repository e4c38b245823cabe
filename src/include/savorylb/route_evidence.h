#ifndef SAVORYLB_ROUTE_EVIDENCE_H
#define SAVORYLB_ROUTE_EVIDENCE_H

#include "savorylb/evidence_tests.h"
#include "savorylb/ids.h"
#include "savorylb/latency_window.h"
#include "savorylb/version_choice.h"
#include "savorylb/version_counts.h"

#include <map>

namespace savorylb {

/// Results and tests of one route.
struct RouteEvidence {
  /// Counts of this VM, reported to peers as totals.
  VersionCounts OwnFailures;
  VersionCounts OwnSlowness;
  LatencyWindow OldLatency;
  VersionChoice Choice;
  /// Totals reported by each peer, so that a repeated heartbeat is not counted
  /// twice.
  std::map<VmId, VersionCounts> PeerFailures;
  std::map<VmId, VersionCounts> PeerSlowness;
  EvidenceTests Tests;
};

} // namespace savorylb

#endif // SAVORYLB_ROUTE_EVIDENCE_H
