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

/// \returns the record as JSON.
std::string formatRolloutRecord(const RolloutRecord &record);
/// \returns the record, or an error that names the invalid field.
Result<RolloutRecord> parseRolloutRecord(const std::string &text);

/// Share of requests that the old version keeps until the rollout is done, as
/// a control group for faults that appear late.
constexpr Ppm ControlShare{20'000};
/// Largest share of the new version while a test is suspect: requests of the
/// old version are needed to tell a bad version from a fault that affects both.
constexpr Ppm MaxSuspectShare{500'000};

/// State of one rollout on one VM.
struct Rollout {
  RolloutSpec Spec;
  RolloutRecord Record;
  std::map<RouteId, RouteEvidence> Routes;
  /// Set by this VM's tests, by a peer or by an adopted record in phase
  /// RolledBack; the new version gets no more requests.
  bool Stopped = false;
  std::string StopReason;
  /// Failure counts of each route when the share was last raised.
  std::map<RouteId, VersionCounts> RouteFailuresAtStep;
  /// Enforces the share over all routes of this VM.
  VersionChoice VmChoice;
  EvidenceTests Pooled;
  /// Failure counts of all routes when the share was last raised.
  VersionCounts PooledFailuresAtStep;
  /// Share of the last choice. A change restarts the tests, since counts at
  /// different shares must not be added up.
  Ppm LastShare;
};

/// \returns the share of requests that this VM now sends to the new version.
Ppm effectiveShare(const Rollout &rollout);

/// \returns true when any test suspects that the new version is worse, without
/// enough evidence to stop it.
bool isSuspect(const Rollout &rollout);

/// Chooses the version that serves one request.
VersionId chooseVersion(Rollout &rollout, const RouteId &route);

/// Records the result of a request and runs the tests.
/// \param version the version that served the request.
/// \param took time spent on the target.
/// \returns true when this result stopped the new version.
bool observeResult(Rollout &rollout, const RouteId &route,
                   const VersionId &version, bool failed, Duration took);

/// Merges the totals and the stop flag that a peer reported.
///
/// Totals below the known ones are ignored, so that repeated and reordered
/// heartbeats have no effect. A restarted peer counts from zero again.
/// \param peer name of the peer together with its incarnation.
/// \returns true when this report stopped the new version.
bool mergePeerEvidence(Rollout &rollout, const VmId &peer, const RouteId &route,
                       const VersionCounts &failures,
                       const VersionCounts &slowness, bool stop);

/// Adopts a record read from the store. Final phases do not change again, and
/// the share does not fall except by a rollback.
/// \returns true when anything changed.
bool adoptRecord(Rollout &rollout, const RolloutRecord &record);

/// Computes the next record, to be written to the store by compare-and-swap.
/// \returns the record, or nothing when the present one remains valid.
std::optional<RolloutRecord> planRollout(const Rollout &rollout, WallTime now);

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_H
