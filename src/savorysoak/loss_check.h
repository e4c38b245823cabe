#ifndef SAVORYLB_LOSS_CHECK_H
#define SAVORYLB_LOSS_CHECK_H

#include "savorylb/units.h"

#include <optional>
#include <vector>

namespace savorylb::soak {

enum class DisruptionKind { Killed, Paused, Terminated };

/// Time for which a process was disrupted. A kill or a termination ends with
/// the start of the next process.
struct Disruption {
  DisruptionKind Kind = DisruptionKind::Killed;
  MonoTime From{};
  std::optional<MonoTime> To;
};

/// A request whose connection ended without a response, or that was answered
/// with a 502 of the VM's own.
struct FailedRequest {
  MonoTime SentAt{};
  MonoTime EndedAt{};
  bool Answered = false;
  /// The connection was new or idle for at most four fifths of the idle
  /// timeout.
  bool WithinIdleLimit = false;
  /// A target ran the request and was sound all the while.
  bool RanAtSoundTarget = false;
};

enum class LossVerdict {
  NotLost,
  /// The request was lost beside a kill or a pause of the process, or at the
  /// end of its grace period.
  Excused,
  /// A request that ran got no response from an undisturbed process.
  Lost,
  /// A request that ran got no response, or only a 502, from a process with
  /// enough of its grace period left.
  LostInShutdown,
  /// A request that did not run got no response from an undisturbed process,
  /// though the idle limit of its connection had not passed.
  Unanswered,
};

/// Determines whether a request was lost though its process could answer it.
/// \param disruptions those of the VM that received the request, in order.
/// \param gracePeriod time from SIGTERM to the end of the process.
LossVerdict judgeRequest(const FailedRequest &request,
                         const std::vector<Disruption> &disruptions,
                         Duration gracePeriod);

/// \returns whether a disruption overlaps the span, including the time after
/// the disruption in which its effects are excused.
bool isDisrupted(const std::vector<Disruption> &disruptions, MonoTime from,
                 MonoTime to);

/// Time for which something was in a state; open at its end while To is empty.
struct TimeSpan {
  MonoTime From{};
  std::optional<MonoTime> To;
};

/// \returns whether one of the spans overlaps the given one.
bool overlapsAny(const std::vector<TimeSpan> &spans, MonoTime from,
                 MonoTime to);

/// An idle timeout and the time when its configuration was written.
struct IdleTimeoutChange {
  MonoTime WrittenAt{};
  Duration Idle{0};
};

/// \param changes all changes so far, in order.
/// \returns the shortest idle timeout that may have been in force at or after a
/// time.
Duration shortestIdleTimeout(const std::vector<IdleTimeoutChange> &changes,
                             MonoTime since);

} // namespace savorylb::soak

#endif // SAVORYLB_LOSS_CHECK_H
