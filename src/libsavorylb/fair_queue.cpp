#include "savorylb/fair_queue.h"

#include <algorithm>
#include <utility>

namespace savorylb {

namespace {

/// Virtual time is moved back to zero from here, far below the point where a
/// double no longer resolves the cost of one request.
constexpr double RebaseAt = 1e9;
constexpr Duration ShortestServiceTime = Duration(100);
/// Part of a new measurement in the smoothed service time.
constexpr int Smoothing = 8;

using Position = std::vector<QueuedRequest>::iterator;

double costOf(int weight) { return 1.0 / std::max(1, weight); }

double startTagFor(const FairQueue &queue, const TeamId &team) {
  auto it = queue.LastFinish.find(team);
  return it == queue.LastFinish.end() ? queue.VirtualTime
                                      : std::max(queue.VirtualTime, it->second);
}

void rebase(FairQueue &queue) {
  if (queue.VirtualTime < RebaseAt)
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

/// Takes a request out without changing tags; the order of Waiting is free.
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

/// Takes out a request that was not served: later ones of its team move up to
/// its place, so that the team does not pay for it.
std::uint64_t withdraw(FairQueue &queue, Position at) {
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

/// Makes room in a full queue.
/// \returns the ticket of the dropped request, or nothing when the arriving
/// team is itself the furthest over its share.
std::optional<std::uint64_t>
evictFor(FairQueue &queue, const QueuedRequest &arriving, MonoTime now) {
  auto expired = std::find_if(
      queue.Waiting.begin(), queue.Waiting.end(),
      [&](const QueuedRequest &other) { return other.GiveUpAt < now; });
  if (expired != queue.Waiting.end())
    return withdraw(queue, expired);
  auto own = queue.Backlogs.find(arriving.Team);
  double most = ((own == queue.Backlogs.end() ? 0 : own->second.Count) + 1) *
                costOf(arriving.Weight);
  // The counts with the arriving request add up to more than the queue holds,
  // so the team with the most requests per weight is over its share.
  const TeamId *worst = nullptr;
  for (const auto &[team, backlog] : queue.Backlogs) {
    double over = backlog.Count * costOf(backlog.Weight);
    if (over > most && team != arriving.Team) {
      most = over;
      worst = &team;
    }
  }
  if (worst == nullptr)
    return std::nullopt;
  auto newest = queue.Waiting.end();
  for (auto it = queue.Waiting.begin(); it != queue.Waiting.end(); ++it)
    if (it->Team == *worst &&
        (newest == queue.Waiting.end() || it->Ticket > newest->Ticket))
      newest = it;
  return withdraw(queue, newest);
}

} // namespace

EnqueueResult enqueueRequest(FairQueue &queue, QueuedRequest request, int slots,
                             MonoTime now) {
  EnqueueResult result;
  request.StartTag = startTagFor(queue, request.Team);
  auto ahead = std::count_if(queue.Waiting.begin(), queue.Waiting.end(),
                             [&](const QueuedRequest &other) {
                               return other.StartTag <= request.StartTag &&
                                      other.GiveUpAt >= now;
                             });
  result.ExpectedWait = queue.ServiceTime * (ahead + 1) / std::max(1, slots);
  if (slots <= 0 || queue.MaxLength <= 0 ||
      now + result.ExpectedWait > request.GiveUpAt)
    return result;
  if (queue.Waiting.size() >= static_cast<std::size_t>(queue.MaxLength)) {
    result.Evicted = evictFor(queue, request, now);
    if (!result.Evicted)
      return result;
    // The dropped request may have been one of the same team that gave up.
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
    bool fits =
        version.empty() || it->Version.empty() || it->Version == version;
    if (fits && it->GiveUpAt >= now &&
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
  withdraw(queue, it);
  return true;
}

std::vector<std::uint64_t> expireRequests(FairQueue &queue, MonoTime now) {
  std::vector<std::uint64_t> tickets;
  for (const QueuedRequest &request : queue.Waiting)
    if (request.GiveUpAt < now)
      tickets.push_back(request.Ticket);
  for (std::uint64_t ticket : tickets)
    cancelRequest(queue, ticket);
  return tickets;
}

void accountImmediate(FairQueue &queue, const TeamId &team, int weight) {
  double start = startTagFor(queue, team);
  queue.LastFinish[team] = start + costOf(weight);
  // With nobody waiting this request is the one in service. With others
  // waiting (for another version) their tags must not fall behind.
  if (queue.Waiting.empty())
    queue.VirtualTime = std::max(queue.VirtualTime, start);
  rebase(queue);
}

void observeServiceTime(FairQueue &queue, Duration took) {
  queue.ServiceTime =
      std::max(ShortestServiceTime,
               queue.ServiceTime + (took - queue.ServiceTime) / Smoothing);
}

} // namespace savorylb
