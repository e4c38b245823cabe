#ifndef SAVORYLB_ROLLOUT_RECORD_H
#define SAVORYLB_ROLLOUT_RECORD_H

#include "savorylb/ids.h"
#include "savorylb/rollout_phase.h"
#include "savorylb/units.h"

#include <set>
#include <string>

namespace savorylb {

/// State of a rollout as kept in the store.
struct RolloutRecord {
  RolloutId Name;
  ServiceId Service;
  VersionId From;
  VersionId To;
  Revision Rev;
  RolloutPhase Phase = RolloutPhase::Waiting;
  Ppm Share;
  /// Whether the tests accepted the new version as no worse at least once.
  bool Proven = false;
  /// Time of the last raise of the share.
  WallTime RaisedAt{};
  std::string Reason;
  /// Versions of the service that this rollout or an earlier one rolled back.
  std::set<VersionId> RolledBackVersions;
};

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_RECORD_H
