#include "savorylb/fair_queue.h"

#include <algorithm>
#include <utility>

namespace savorylb {

namespace {

/// Virtual time is reset to zero when it reaches this value, far below the
/// point where a double no longer resolves the cost of one request.
constexpr double RebaseThreshold = 1e9;
/// In microseconds. Smaller estimates would make the expected wait nearly zero.
constexpr Duration MinServiceTime = Duration(100);
/// A new measurement has a weight of one part in this many in the smoothed
/// service time.
constexpr int SmoothingDivisor = 8;

using Position = std::vector<QueuedRequest>::iterator;

/// \returns the virtual time that one request of a team takes up.
double costOf(int weight) { return 1.0 / std::max(1, weight); }

double startTagFor(const FairQueue &queue, const TeamId &team) {
  auto it = queue.LastFinish.find(team);
  return it == queue.LastFinish.end() ? queue.VirtualTime
                                      : std::max(queue.VirtualTime, it->second);
}

/// Resets the virtual time to zero and shifts all tags accordingly.
void rebase(FairQueue &queue) {
  if (queue.VirtualTime < RebaseThreshold)
    return;
  for (auto &[team, finish] : queue.LastFinish)
    finish -= queue.VirtualTime;
  for (QueuedRequest &request : queue.Waiting)
    request.StartTag -= queue.VirtualTime;
  queue.VirtualTime = 0;
}

bool servedBefore(const QueuedRequest &a, const QueuedRequest &b) {
  return a.StartTag != b.StartTag ? a.StartTag < b.StartTag
                                  : a.Ticket < b.Ticket;
}

/// Removes a request without changing tags. The order of Waiting may change.
QueuedRequest extract(FairQueue &queue, Position at) {
  QueuedRequest request = std::move(*at);
  if (at != std::prev(queue.Waiting.end()))
    *at = std::move(queue.Waiting.back());
  queue.Waiting.pop_back();
  auto backlog = queue.Backlogs.find(request.Team);
  if (--backlog->second.Count == 0)
    queue.Backlogs.erase(backlog);
  return request;
}

/// Removes a request that was not served. Later requests of its team take over
/// the tags of their predecessors, so that the team is not charged for it.
std::uint64_t removeUnserved(FairQueue &queue, Position at) {
  QueuedRequest request = extract(queue, at);
  double tag = request.StartTag;
  std::vector<QueuedRequest *> later;
  for (QueuedRequest &other : queue.Waiting)
    if (other.Ticket > request.Ticket && other.Team == request.Team)
      later.push_back(&other);
  if (later.size() > 1)
    std::sort(later.begin(), later.end(),
              [](auto *a, auto *b) { return a->Ticket < b->Ticket; });
  for (QueuedRequest *other : later)
    std::swap(other->StartTag, tag);
  queue.LastFinish[request.Team] -= costOf(request.Weight);
  return request.Ticket;
}

/// Evicts one request from a full queue.
/// \returns the ticket of the evicted request, or nothing when the arriving
/// team itself is furthest over its share.
std::optional<std::uint64_t>
evictFor(FairQueue &queue, const QueuedRequest &arriving, MonoTime now) {
  auto expired = std::find_if(
      queue.Waiting.begin(), queue.Waiting.end(),
      [&](const QueuedRequest &other) { return other.ExpiresAt < now; });
  if (expired != queue.Waiting.end())
    return removeUnserved(queue, expired);
  auto own = queue.Backlogs.find(arriving.Team);
  double highestLoad =
      ((own == queue.Backlogs.end() ? 0 : own->second.Count) + 1) *
      costOf(arriving.Weight);
  // Including the arriving request there are more requests than the queue
  // holds, so the team with the most requests per weight is over its share.
  const TeamId *heaviestTeam = nullptr;
  for (const auto &[team, backlog] : queue.Backlogs) {
    double load = backlog.Count * costOf(backlog.Weight);
    if (load > highestLoad && team != arriving.Team) {
      highestLoad = load;
      heaviestTeam = &team;
    }
  }
  if (heaviestTeam == nullptr)
    return std::nullopt;
  auto newest = queue.Waiting.end();
  for (auto it = queue.Waiting.begin(); it != queue.Waiting.end(); ++it)
    if (it->Team == *heaviestTeam &&
        (newest == queue.Waiting.end() || it->Ticket > newest->Ticket))
      newest = it;
  return removeUnserved(queue, newest);
}

} // namespace

EnqueueResult enqueueRequest(FairQueue &queue, QueuedRequest request, int slots,
                             MonoTime now) {
  EnqueueResult result;
  request.StartTag = startTagFor(queue, request.Team);
  auto ahead = std::count_if(queue.Waiting.begin(), queue.Waiting.end(),
                             [&](const QueuedRequest &other) {
                               return other.StartTag <= request.StartTag &&
                                      other.ExpiresAt >= now;
                             });
  result.ExpectedWait = queue.ServiceTime * (ahead + 1) / std::max(1, slots);
  if (slots <= 0 || queue.MaxLength <= 0 ||
      now + result.ExpectedWait > request.ExpiresAt)
    return result;
  if (queue.Waiting.size() >= static_cast<std::size_t>(queue.MaxLength)) {
    result.Evicted = evictFor(queue, request, now);
    if (!result.Evicted)
      return result;
    // The evicted request may have been an expired one of the same team.
    request.StartTag = startTagFor(queue, request.Team);
  }
  request.Ticket = queue.NextTicket++;
  queue.LastFinish[request.Team] = request.StartTag + costOf(request.Weight);
  TeamBacklog &backlog = queue.Backlogs[request.Team];
  ++backlog.Count;
  backlog.Weight = std::max(1, request.Weight);
  result.Accepted = true;
  result.Ticket = request.Ticket;
  queue.Waiting.push_back(std::move(request));
  return result;
}

std::optional<QueuedRequest>
dequeueRequest(FairQueue &queue, const VersionId &version, MonoTime now) {
  auto best = queue.Waiting.end();
  for (auto it = queue.Waiting.begin(); it != queue.Waiting.end(); ++it) {
    bool matches =
        version.empty() || it->Version.empty() || it->Version == version;
    if (matches && it->ExpiresAt >= now &&
        (best == queue.Waiting.end() || servedBefore(*it, *best)))
      best = it;
  }
  if (best == queue.Waiting.end())
    return std::nullopt;
  QueuedRequest request = extract(queue, best);
  queue.VirtualTime = std::max(queue.VirtualTime, request.StartTag);
  rebase(queue);
  return request;
}

bool cancelRequest(FairQueue &queue, std::uint64_t ticket) {
  auto it = std::find_if(
      queue.Waiting.begin(), queue.Waiting.end(),
      [&](const QueuedRequest &request) { return request.Ticket == ticket; });
  if (it == queue.Waiting.end())
    return false;
  removeUnserved(queue, it);
  return true;
}

std::vector<std::uint64_t> expireRequests(FairQueue &queue, MonoTime now) {
  std::vector<std::uint64_t> tickets;
  for (const QueuedRequest &request : queue.Waiting)
    if (request.ExpiresAt < now)
      tickets.push_back(request.Ticket);
  for (std::uint64_t ticket : tickets)
    cancelRequest(queue, ticket);
  return tickets;
}

void recordUnqueuedRequest(FairQueue &queue, const TeamId &team, int weight) {
  double start = startTagFor(queue, team);
  queue.LastFinish[team] = start + costOf(weight);
  // The virtual time is the highest start tag of the requests served, and this
  // one is served at once. While requests for another version wait, it is not
  // advanced, because their start tags must not fall behind it.
  if (queue.Waiting.empty())
    queue.VirtualTime = std::max(queue.VirtualTime, start);
  rebase(queue);
}

void observeServiceTime(FairQueue &queue, Duration took) {
  queue.ServiceTime =
      std::max(MinServiceTime, queue.ServiceTime + (took - queue.ServiceTime) /
                                                       SmoothingDivisor);
}

} // namespace savorylb
