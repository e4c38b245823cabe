#ifndef SAVORYLB_ROLLOUT_SPEC_H
#define SAVORYLB_ROLLOUT_SPEC_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <vector>

namespace savorylb {

/// A move of one service from one version to another by a set time.
struct RolloutSpec {
  RolloutId Name;
  ServiceId Service;
  VersionId From;
  VersionId To;
  /// Largest share of the new version until it has proved itself.
  Ppm Cap{50'000};
  /// Shares that the move goes through, rising.
  std::vector<Ppm> Steps;
  WallTime Start;
  WallTime Deadline;
};

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_SPEC_H
