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

/// Start-time fair queue that shares one service's slots among teams.
struct FairQueue {
  int MaxLength = 64;
  double VirtualTime = 0;
  /// Finish tag of each team's newest request, in virtual time.
  std::map<TeamId, double> LastFinish;
  /// Unordered; requests are served by StartTag and then by Ticket.
  std::vector<QueuedRequest> Waiting;
  /// Teams with waiting requests.
  std::map<TeamId, TeamBacklog> Backlogs;
  std::uint64_t NextTicket = 1;
  /// Smoothed time for which a request holds a slot.
  Duration ServiceTime = Millis(20);
};

/// Adds a request if it can expect a slot before it expires.
///
/// When the queue is full, the newest request of the team that is furthest over
/// its share is evicted, so that one team cannot fill the queue; if that is the
/// team of \p request, the request is refused. Expired requests are evicted
/// first.
/// \param request the request; its Ticket and StartTag are ignored.
/// \param slots number of slots that serve this queue.
EnqueueResult enqueueRequest(FairQueue &queue, QueuedRequest request, int slots,
                             MonoTime now);

/// Removes and returns the next request in fair order that a free slot can
/// serve. Expired requests are skipped.
/// \param version version of the free slot; empty matches all requests.
/// \returns the request, or nothing when none matches.
std::optional<QueuedRequest>
dequeueRequest(FairQueue &queue, const VersionId &version, MonoTime now);

/// Removes a request that expired or whose caller disconnected.
/// \returns false when it is no longer waiting.
bool cancelRequest(FairQueue &queue, std::uint64_t ticket);

/// Removes all expired requests.
/// \returns their tickets.
std::vector<std::uint64_t> expireRequests(FairQueue &queue, MonoTime now);

/// Charges a request that got a slot without waiting to its team.
void recordUnqueuedRequest(FairQueue &queue, const TeamId &team, int weight);

/// Updates the smoothed service time.
/// \param took how long a request held its slot.
void observeServiceTime(FairQueue &queue, Duration took);

} // namespace savorylb

#endif // SAVORYLB_FAIR_QUEUE_H
