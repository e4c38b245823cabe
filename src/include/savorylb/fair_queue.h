#ifndef SAVORYLB_FAIR_QUEUE_H
#define SAVORYLB_FAIR_QUEUE_H

#include "savorylb/enqueue_result.h"
#include "savorylb/ids.h"
#include "savorylb/queued_request.h"
#include "savorylb/team_backlog.h"
#include "savorylb/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace savorylb {

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
