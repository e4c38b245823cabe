#ifndef SAVORYLB_ROLLOUT_STAGE_H
#define SAVORYLB_ROLLOUT_STAGE_H

#include "savorylb/ids.h"
#include "savorylb/store_position.h"

#include <map>

namespace savorylb {

/// The operators' order to move a service to a version.
struct RolloutOrder {
  ServiceId Service;
  VersionId Version;
  /// The rollout has to be complete this long after the order.
  Duration Window{0};
  /// Distinguishes the orders for one service.
  StorePosition OrderRevision;
};

/// State of a rollout as recorded in the store.
enum class RolloutState { None, Running, Completed, RolledBack };

/// Rollout status as recorded in the store.
struct RolloutStatus {
  RolloutState State = RolloutState::None;
  VersionId Version;
  /// Revision at which the status was written.
  StorePosition StatusRevision;
};

/// Response counts by which a version is judged.
struct VersionTally {
  std::int64_t Responses = 0;
  std::int64_t Failures = 0;
  std::int64_t Slow = 0;
};

/// Counts of the new and the old version on one route.
struct RouteTally {
  VersionTally NewVersion;
  VersionTally OldVersion;
};

using RolloutEvidence = std::map<RouteId, RouteTally>;

/// Traffic split of a rollout at one point in time.
struct RolloutStep {
  /// Fraction of the service's requests that go to the new version.
  double Share = 0;
  /// If the share is less than WantedPerSecond over all VMs, up to
  /// ExtraPerSecond go to it beyond the share.
  double WantedPerSecond = 0;
  double ExtraPerSecond = 0;
  /// Only a subset of the new version's targets is used, so that these are
  /// loaded and faults that occur only under load become visible.
  bool TargetSubset = false;
  /// The old targets have had time to finish their requests.
  bool Complete = false;
};

/// A response that takes longer than this multiple of the latency target counts
/// as slow.
constexpr int SlowFactor = 2;
/// Requests of the trial, as fractions of the share and of the slack that a bad
/// version may receive. The rest covers requests sent before the version is
/// found bad.
constexpr double TrialShareFraction = 0.6;
constexpr double TrialSlackFraction = 0.8;

/// The requests that a bad version may receive within the rollout's window,
/// over all VMs.
struct BadVersionLimits {
  /// Share of the service's requests.
  double Share = 0.1;
  /// Requests beyond the share.
  double Slack = 0;
};

/// Computes the traffic split of a rollout whose version is not found bad.
/// \param elapsed time since the order.
/// \param window time from the order within which the rollout has to complete.
RolloutStep planRollout(Duration elapsed, Duration window,
                        const BadVersionLimits &limits = BadVersionLimits());

/// \returns whether the new version fails or is slow more often than the old
///          one and chance hardly explains it, on a single route or over all
///          routes.
bool newVersionIsBad(const RolloutEvidence &evidence);

/// Adds the counts of another VM to a sum.
void addEvidence(RolloutEvidence &sum, const RolloutEvidence &more);

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_STAGE_H
