#ifndef SAVORYLB_ROLLOUT_H
#define SAVORYLB_ROLLOUT_H

#include "savorylb/error.h"
#include "savorylb/evidence_tests.h"
#include "savorylb/evidence_window.h"
#include "savorylb/ids.h"
#include "savorylb/latency_window.h"
#include "savorylb/rollout_phase.h"
#include "savorylb/rollout_record.h"
#include "savorylb/rollout_spec.h"
#include "savorylb/route_evidence.h"
#include "savorylb/sequential_test.h"
#include "savorylb/units.h"
#include "savorylb/version_choice.h"

#include <map>
#include <optional>
#include <string>

namespace savorylb {

std::string formatRolloutRecord(const RolloutRecord &record);
Result<RolloutRecord> parseRolloutRecord(const std::string &text);

/// Share of the old version that is kept at full share until the rollout is
/// done, so that a late fault is still compared with the old version.
constexpr Ppm ControlShare{20'000};
/// Largest share while a test is suspicious: requests of the old version are
/// needed to tell a bad version from a fault that hits both.
constexpr Ppm SuspectShare{500'000};

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
