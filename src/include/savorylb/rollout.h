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
#include <set>
#include <string>
#include <vector>

namespace savorylb {

/// Where a rollout stands. TakenBack and Done are final.
enum class RolloutPhase { Waiting, Running, Late, Done, TakenBack };

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

std::string formatRolloutRecord(const RolloutRecord &record);
Result<RolloutRecord> parseRolloutRecord(const std::string &text);

/// Latencies of the old version, to tell slow requests.
struct LatencyWindow {
  std::vector<Duration> Recent;
  std::size_t Next = 0;
  /// 90th percentile of Recent, renewed every few requests; zero while there
  /// are too few.
  Duration Threshold{};
};

/// Share of the old version that is kept at full share until the rollout is
/// done, so that a late fault is still compared with the old version.
constexpr Ppm ControlShare{20'000};
/// Largest share while a test is suspicious: requests of the old version are
/// needed to tell a bad version from a fault that hits both.
constexpr Ppm SuspectShare{500'000};

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

/// The tests of one route, or of all routes together.
struct EvidenceTests {
  /// Own counts and those of all peers.
  VersionCounts Failures;
  VersionCounts Slowness;
  EvidenceWindow FailureWindow;
  EvidenceWindow SlownessWindow{{}, 0.10, 1, 0, false};
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
  EvidenceTests Tests;
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
  /// Holds the share over all routes of this VM.
  VersionChoice VmChoice;
  EvidenceTests Pooled;
  /// Pooled failure counts at the last raise.
  VersionCounts PooledAtStep;
  /// Share of the last choice; the tests are restarted when it changes, since
  /// counts of different shares must not be added up.
  Ppm LastShare;
};

/// \param rollout the rollout.
/// \returns the share that this VM sends to the new version now.
Ppm effectiveShare(const Rollout &rollout);

/// \returns true when any test finds the new version worse, though not surely.
bool isSuspect(const Rollout &rollout);

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
///
/// Totals that are lower than known ones are ignored, so repeated and reordered
/// heartbeats change nothing. A restarted peer counts from zero again: pass its
/// name together with its incarnation as the id.
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
