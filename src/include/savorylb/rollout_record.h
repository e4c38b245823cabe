#ifndef SAVORYLB_ROLLOUT_RECORD_H
#define SAVORYLB_ROLLOUT_RECORD_H

#include "savorylb/ids.h"
#include "savorylb/rollout_phase.h"
#include "savorylb/units.h"

#include <set>
#include <string>

namespace savorylb {

/// State of a rollout in the store.
struct RolloutRecord {
  RolloutId Name;
  ServiceId Service;
  VersionId From;
  VersionId To;
  Revision Rev;
  RolloutPhase Phase = RolloutPhase::Waiting;
  Ppm Share;
  /// Whether the test accepted "no worse" at least once.
  bool Proven = false;
  /// When the share was last raised.
  WallTime RaisedAt{};
  std::string Reason;
  /// Versions of the service that were taken back, by this rollout and by
  /// earlier ones.
  std::set<VersionId> TakenBack;
};

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_RECORD_H
