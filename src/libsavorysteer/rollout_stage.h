#ifndef SAVORYLB_ROLLOUT_STAGE_H
#define SAVORYLB_ROLLOUT_STAGE_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>

namespace savorylb {

/// The operators' order to move a service to a version.
struct RolloutOrder {
  ServiceId Service;
  VersionId Version;
  /// The move has to be done this long after the order.
  Duration Window{0};
  /// Tells orders for one service apart.
  Revision Ordered;
};

/// How a rollout stands, as recorded in the store.
enum class RolloutState { None, Running, Completed, RolledBack };

/// The recorded state.
struct RolloutStatus {
  RolloutState State = RolloutState::None;
  VersionId Version;
  Revision Written;
};

/// Responses that count for the verdict on a version.
struct VersionTally {
  std::int64_t Responses = 0;
  std::int64_t Failures = 0;
  std::int64_t Slow = 0;
};

/// Tallies of the new and the old version on one route.
struct RouteTally {
  VersionTally Candidate;
  VersionTally Baseline;
};

using RolloutEvidence = std::map<RouteId, RouteTally>;

/// What a rollout does at a time.
struct RolloutStep {
  /// Part of the service's requests that go to the new version.
  double Share = 0;
  /// Only a part of the new version's targets is used, so that these see a
  /// usual load and faults under load show.
  bool FewTargets = false;
  /// The old targets have had time to finish their requests.
  bool Complete = false;
};

/// A response this many times the latency target counts as slow.
constexpr int SlowFactor = 2;
/// Part of the share that the deployment allows a bad version, used while a
/// version is tried; the rest is for what is on its way when it is found bad.
constexpr double TrialPart = 0.6;
/// The allowed share where the deployment names none.
constexpr double UsualTrialBound = 0.1;

/// \param elapsed time since the order.
/// \param window time that the order leaves.
/// \param bound share of a service's requests that a bad version may get.
/// \returns what to do now, as long as the version is not found bad.
RolloutStep planRollout(Duration elapsed, Duration window,
                        double bound = UsualTrialBound);

/// \returns whether the new version fails or is slow clearly more often than
///          the old one, on one route or on all together.
bool candidateIsBad(const RolloutEvidence &evidence);

/// Adds the tallies of another VM.
void addEvidence(RolloutEvidence &sum, const RolloutEvidence &more);

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_STAGE_H
