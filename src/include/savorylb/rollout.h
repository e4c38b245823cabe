#ifndef SAVORYLB_ROLLOUT_H
#define SAVORYLB_ROLLOUT_H

#include "savorylb/error.h"
#include "savorylb/ids.h"
#include "savorylb/rollout_spec.h"
#include "savorylb/sequential_test.h"
#include "savorylb/units.h"
#include "savorylb/version_choice.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorylb {

/// Where a rollout stands. TakenBack and Done are final.
enum class RolloutPhase { Waiting, Running, Late, Done, TakenBack };

/// State of a rollout in the store.
struct RolloutRecord {
  RolloutId Name;
  ServiceId Service;
  Revision Rev;
  RolloutPhase Phase = RolloutPhase::Waiting;
  Ppm Share;
  /// Whether the test accepted "no worse" at least once.
  bool Proven = false;
  /// When the share was last raised.
  WallTime RaisedAt{};
  std::string Reason;
};

std::string formatRolloutRecord(const RolloutRecord &record);
Result<RolloutRecord> parseRolloutRecord(const std::string &text);

/// Latencies of the old version, to tell slow requests.
struct LatencyWindow {
  std::vector<Duration> Recent;
  std::size_t Next = 0;
};

/// Evidence of one route.
struct RouteEvidence {
  VersionCounts Failures;
  VersionCounts Slowness;
  LatencyWindow OldLatency;
  VersionChoice Choice;
  /// Totals that peers reported, by VM, kept apart so that a repeated
  /// heartbeat is not counted twice.
  std::map<VmId, VersionCounts> PeerFailures;
  std::map<VmId, VersionCounts> PeerSlowness;
};

/// One rollout on one VM.
struct Rollout {
  RolloutSpec Spec;
  RolloutRecord Record;
  std::map<RouteId, RouteEvidence> Routes;
  /// Set by own evidence or by a peer; the new version gets nothing more.
  bool Stopped = false;
  std::string StopReason;
  /// Counts at the last raise, so that each step is tested on its own.
  std::map<RouteId, VersionCounts> AtStep;
};

/// Chooses the version of one request.
/// \param rollout the rollout.
/// \param route the request's route.
/// \returns the version to use.
VersionId chooseVersion(Rollout &rollout, const RouteId &route);

/// Records how a request ended.
/// \param rollout the rollout.
/// \param route the request's route.
/// \param version the version that served it.
/// \param failed whether it failed.
/// \param took time on the target.
/// \returns true when the new version was stopped by this.
bool observeResult(Rollout &rollout, const RouteId &route,
                   const VersionId &version, bool failed, Duration took);

/// Takes in a peer's totals or its stop flag.
/// \returns true when the new version was stopped by this.
bool mergeEvidence(Rollout &rollout, const VmId &peer, const RouteId &route,
                   const VersionCounts &failures, const VersionCounts &slowness,
                   bool stop);

/// Adopts a record of the store; final phases and shares never go back.
/// \returns true when anything changed.
bool adoptRecord(Rollout &rollout, const RolloutRecord &record);

/// Decides on the next record to write by compare-and-swap.
/// \param rollout the rollout.
/// \param now wall-clock time.
/// \returns the record, or nothing when it stays.
std::optional<RolloutRecord> planRollout(const Rollout &rollout, WallTime now);

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_H
