#ifndef SAVORYLB_FAIR_QUEUE_H
#define SAVORYLB_FAIR_QUEUE_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace savorylb {

/// A request that waits for a slot.
struct QueuedRequest {
  std::uint64_t Ticket = 0;
  TeamId Team;
  int Weight = 1;
  VersionId Version;
  MonoTime EnqueuedAt{};
  /// Latest time at which a slot is still of use.
  MonoTime GiveUpAt{};
  /// Start tag of start-time fair queueing, in virtual time.
  double StartTag = 0;
};

/// Waiting requests of one team.
struct TeamBacklog {
  int Count = 0;
  int Weight = 1;
};

/// Start-time fair queue between teams for one service.
struct FairQueue {
  int MaxLength = 64;
  double VirtualTime = 0;
  std::map<TeamId, double> LastFinish;
  /// In no order; StartTag and then Ticket give the order of service.
  std::vector<QueuedRequest> Waiting;
  /// Teams with waiting requests.
  std::map<TeamId, TeamBacklog> Backlogs;
  std::uint64_t NextTicket = 1;
  /// Smoothed time that a request holds a slot.
  Duration ServiceTime = Millis(20);
};

/// What became of a request that asked to wait.
struct EnqueueResult {
  bool Accepted = false;
  std::uint64_t Ticket = 0;
  /// A request of another team that lost its place to this one.
  std::optional<std::uint64_t> Evicted;
  /// Expected wait, for `retry_after_ms`.
  Duration ExpectedWait{};
};

/// Adds a request when it can expect a slot before it gives up.
///
/// A full queue drops the newest request of the team that is furthest over
/// its share, so that one team cannot fill it; when that is the arriving team,
/// its request is refused. Requests that gave up are dropped first.
/// \param queue the queue.
/// \param request the request; Ticket and StartTag are set here.
/// \param slots slots that serve this queue.
/// \param now the current time.
/// \returns whether it waits, and who was dropped for it.
EnqueueResult enqueueRequest(FairQueue &queue, QueuedRequest request, int slots,
                             MonoTime now);

/// Takes the next request in fair order among those that a predicate allows.
/// \param queue the queue.
/// \param version version that a slot is free for; empty matches all.
/// \param now the current time; requests that gave up are skipped.
/// \returns the request, or nothing.
std::optional<QueuedRequest>
dequeueRequest(FairQueue &queue, const VersionId &version, MonoTime now);

/// Removes a request that gave up or whose caller left.
/// \returns false when it is not waiting any more.
bool cancelRequest(FairQueue &queue, std::uint64_t ticket);

/// \returns the tickets whose time to give up has passed, removed.
std::vector<std::uint64_t> expireRequests(FairQueue &queue, MonoTime now);

/// Counts a request that got a slot without waiting.
void accountImmediate(FairQueue &queue, const TeamId &team, int weight);

/// Updates the smoothed service time.
void observeServiceTime(FairQueue &queue, Duration took);

} // namespace savorylb

#endif // SAVORYLB_FAIR_QUEUE_H
