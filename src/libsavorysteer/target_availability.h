#ifndef SAVORYLB_TARGET_AVAILABILITY_H
#define SAVORYLB_TARGET_AVAILABILITY_H

#include "target_state.h"

#include <map>

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

/// \returns whether a request that was placed on a target may still be
///          transmitted, although time has passed since.
bool mayTransmit(const SteeringState &state, const TargetStart &start);

/// Records that a target announced its departure. It gets no new requests until
/// it starts again, also if its entry is removed and returns.
/// \param start process start that sent the announcement; has no effect on
///        later ones.
/// \returns whether the announcement is the first one of this start.
bool markLeaving(SteeringState &state, const TargetStart &start, MonoTime now);

/// Keeps the notices of a target whose entry is being removed.
void retainNotices(SteeringState &state, const TargetState &target,
                   MonoTime now);

/// Applies retained notices to a target whose entry has returned. They are
/// discarded if the target has started again.
void restoreNotices(SteeringState &state, TargetState &target);

/// Removes a send that was not transmitted from the target's load and from the
/// targets that the request has tried. Tokens of a warm-up are not returned.
void cancelSend(SteeringState &state, SteeredRequest &request,
                const TargetId &target, MonoTime sentAt);

} // namespace savorylb

#endif // SAVORYLB_TARGET_AVAILABILITY_H
