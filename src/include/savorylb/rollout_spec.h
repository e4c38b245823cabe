#ifndef SAVORYLB_ROLLOUT_SPEC_H
#define SAVORYLB_ROLLOUT_SPEC_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <vector>

namespace savorylb {

/// Configuration of a rollout: moves a service from one version to another
/// before a deadline.
struct RolloutSpec {
  RolloutId Name;
  ServiceId Service;
  VersionId From;
  VersionId To;
  /// Largest share of the new version until the tests accept it as no worse.
  Ppm Cap{50'000};
  /// Shares of the new version that the rollout steps through, in increasing
  /// order.
  std::vector<Ppm> Steps;
  WallTime Start;
  WallTime Deadline;
};

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_SPEC_H
