#ifndef SAVORYLB_TARGET_AVAILABILITY_H
#define SAVORYLB_TARGET_AVAILABILITY_H

#include "placement_policy.h"

#include <optional>

namespace savorylb {

struct SteeringState;
struct SteeredRequest;

/// Identifies one process start of a target.
struct TargetStart {
  TargetId Id;
  /// `ip:port`.
  std::string Address;
  std::int64_t StartId = 0;
};

/// Notices of a target whose entry was removed.
struct RetainedNotices {
  TargetStart Start;
  TargetNotices Notices;
  MonoTime RetainedAt{};
};

/// How long the notices of a removed target are retained. A target may go on
/// serving, and write its entry again, for many seconds after its removal.
constexpr Duration NoticeRetention = Seconds(600);

/// \returns the process start to which an entry belongs.
TargetStart startOf(const TargetEntry &entry);

/// \returns whether a known target is still in the given process start.
bool isSameStart(const TargetEntry &entry, const TargetStart &start);

/// \returns whether the target may be given new requests as far as its entry,
///          its departure and evacuations are concerned.
bool takesNewRequests(const SteeringState &state, const TargetState &target);

/// \returns whether a process start of a target is still known and takes new
///          requests, now or after a pause.
bool isInUse(const SteeringState &state, const TargetStart &start);

/// \returns whether the target wants no requests from this VM now.
bool isPaused(const TargetState &target, MonoTime now);

/// \returns whether a request that was placed on a target may still be
///          transmitted, although time has passed since.
bool mayTransmit(const SteeringState &state, const TargetStart &start,
                 MonoTime now);

/// Records that a target announced its departure. It gets no new requests until
/// it starts again, also if its entry is removed and returns.
/// \param start process start that sent the announcement; has no effect on
///        later ones.
/// \returns whether the announcement is the first one of this start.
bool markLeaving(SteeringState &state, const TargetStart &start, MonoTime now);

/// Records that a target wants no requests from this VM for some time. The
/// later end of a pause in force and the new one holds.
/// \returns whether the target was not paused before.
bool pauseTarget(SteeringState &state, const TargetStart &start, Duration pause,
                 MonoTime now);

/// Targets that may serve a request.
struct TargetCandidates {
  std::vector<PlacementCandidate> Usable;
  /// Earliest end of a pause of the targets that are unusable only because
  /// they are paused.
  std::optional<MonoTime> PauseEnd;
};

/// Adds a target to the candidates, or its pause.
void addCandidate(TargetCandidates &candidates, TargetState &target,
                  double roundTripMs, MonoTime now);

/// Refuses a request if only paused targets are left for it.
/// \returns the refusal, or nothing if another target is usable or none is
///          paused.
std::optional<PlacementChoice>
refuseWhilePaused(const TargetCandidates &candidates,
                  const SteeredRequest &request, MonoTime now);

/// Keeps the notices of a target whose entry is being removed.
void retainNotices(SteeringState &state, const TargetState &target,
                   MonoTime now);

/// Applies retained notices to a target whose entry has returned. They are
/// discarded if the target has started again.
void restoreNotices(SteeringState &state, TargetState &target);

/// Removes a send that was not transmitted, or whose caller has disconnected,
/// from the target's load and from the targets that the request has tried.
/// Tokens of a warm-up are not returned.
void cancelSend(SteeringState &state, SteeredRequest &request,
                const TargetId &target, MonoTime sentAt);

} // namespace savorylb

#endif // SAVORYLB_TARGET_AVAILABILITY_H
