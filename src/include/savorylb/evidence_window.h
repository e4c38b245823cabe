#ifndef SAVORYLB_EVIDENCE_WINDOW_H
#define SAVORYLB_EVIDENCE_WINDOW_H

#include "savorylb/version_counts.h"

namespace savorylb {

/// One restarted sequential test: only what came after Start counts, so that a
/// long good history does not hide a late fault.
struct EvidenceWindow {
  VersionCounts Start;
  /// Bad rate of the old version up to Start.
  double OldRate = 0.01;
  /// Tests begun so far; each later one is held to a smaller alpha.
  int Round = 1;
  /// Tests since the last raise that accepted "no worse".
  int Accepted = 0;
  /// Whether the new version looked worse, though not surely; stays until the
  /// test ends.
  bool Suspect = false;
};

} // namespace savorylb

#endif // SAVORYLB_EVIDENCE_WINDOW_H
