#ifndef SAVORYLB_EVIDENCE_WINDOW_H
#define SAVORYLB_EVIDENCE_WINDOW_H

#include "savorylb/version_counts.h"

namespace savorylb {

/// State of a sequential test that is restarted from time to time. Only results
/// after Start count, so that a long good history does not hide a late fault.
struct EvidenceWindow {
  VersionCounts Start;
  /// Rate of bad results of the old version up to Start.
  double OldRate = 0.01;
  /// Number of the current test; each later test uses a smaller alpha.
  int Round = 1;
  /// Number of tests that accepted the new version as no worse. Only the
  /// count in Rollout::Pooled is used, and reset at each raise.
  int Accepted = 0;
  /// The new version looks worse, without enough evidence to stop it.
  bool Suspect = false;
};

} // namespace savorylb

#endif // SAVORYLB_EVIDENCE_WINDOW_H
