#include "service_shard.h"

#include "daemon.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Time that a queued request must have left when it gets its slot, in percent
/// of the expected service time, which is a mean and excludes the transfer to
/// the target.
constexpr int ServiceTimeReservePercent = 125;

Duration serviceReserve(const ServiceShard &shard) {
  return shard.Queue.ServiceTime * ServiceTimeReservePercent / 100;
}

std::chrono::microseconds timeUntil(MonoTime at) {
  return std::max(Duration(0), at - monoNow());
}

void completeWaiter(ServiceShard &shard, std::uint64_t ticket,
                    std::optional<SlotGrant> grant) {
  auto it = shard.Waiters.find(ticket);
  if (it == shard.Waiters.end())
    return;
  it->second->Grant = std::move(grant);
  it->second->Done = true;
  it->second->Ready.notify_one();
  shard.Waiters.erase(it);
}

/// Grants a free slot of a version to the next request in fair order.
/// \returns false when no slot is free or no request waits for it.
bool serveVersion(ServiceShard &shard, const VersionId &version, MonoTime now) {
  if (freeSlots(shard.Slots, version, now) <= 0)
    return false;
  std::optional<QueuedRequest> next = dequeueRequest(shard.Queue, version, now);
  if (!next)
    return false;
  auto it = shard.Waiters.find(next->Ticket);
  if (it == shard.Waiters.end())
    return true;
  std::optional<SlotGrant> grant;
  // The expected service time may have grown since the request was queued.
  if (now + serviceReserve(shard) <= it->second->ExpiresAt)
    grant = grantSlot(shard.Slots, next->Version, TargetId(),
                      it->second->ExpiresAt, now);
  completeWaiter(shard, next->Ticket, std::move(grant));
  return true;
}

/// Grants free slots to queued requests. The caller holds the shard's lock.
void serveQueue(Daemon &daemon, ServiceShard &shard) {
  if (shard.Queue.Waiting.empty() || !mayUseOwnedResources(daemon))
    return;
  MonoTime now = monoNow();
  std::set<VersionId> versions;
  for (const QueuedRequest &it : shard.Queue.Waiting)
    versions.insert(it.Version);
  bool progress = true;
  while (progress) {
    progress = false;
    for (const VersionId &it : versions)
      progress = serveVersion(shard, it, now) || progress;
  }
}

bool hasWaiters(const ServiceShard &shard, const VersionId &version) {
  const auto &waiting = shard.Queue.Waiting;
  return std::any_of(
      waiting.begin(), waiting.end(), [&](const QueuedRequest &it) {
        return version.empty() || it.Version.empty() || it.Version == version;
      });
}

SlotAnswer waitForSlot(Daemon &daemon, ServiceShard &shard,
                       const SlotQuery &query,
                       std::unique_lock<std::mutex> &lock, MonoTime now) {
  SlotAnswer answer;
  int slots = usableSlots(shard.Slots, query.Version, now);
  if (slots == 0) {
    answer.Reason = "no-target";
    return answer;
  }
  QueuedRequest request;
  request.Team = query.Team;
  request.Weight = query.Weight;
  request.Version = query.Version;
  request.EnqueuedAt = now;
  // A request that gets its slot later would miss its deadline.
  Duration latest = query.Remaining - serviceReserve(shard);
  request.ExpiresAt =
      now + std::max(Duration(0), std::min(query.MaxWait, latest));
  EnqueueResult queued = enqueueRequest(shard.Queue, request, slots, now);
  if (queued.Evicted)
    completeWaiter(shard, *queued.Evicted, std::nullopt);
  if (!queued.Accepted) {
    answer.Reason = "overload";
    answer.RetryAfter = queued.ExpectedWait;
    return answer;
  }
  SlotWaiter waiter;
  waiter.ExpiresAt = now + query.Remaining;
  shard.Waiters[queued.Ticket] = &waiter;
  serveQueue(daemon, shard);
  while (!waiter.Done && monoNow() < request.ExpiresAt)
    waiter.Ready.wait_for(lock, timeUntil(request.ExpiresAt));
  if (!waiter.Done) {
    cancelRequest(shard.Queue, queued.Ticket);
    shard.Waiters.erase(queued.Ticket);
  }
  answer.Grant = std::move(waiter.Grant);
  if (!answer.Grant) {
    answer.Reason = "overload";
    answer.RetryAfter = queued.ExpectedWait;
  }
  return answer;
}

SlotAnswer acquireFromShard(Daemon &daemon, ServiceShard &shard,
                            SlotQuery query) {
  std::unique_lock<std::mutex> lock(shard.Lock);
  MonoTime now = monoNow();
  expireGrants(shard.Slots, now);
  // A later owner counts the slot as busy for no longer than MaxTime.
  query.Remaining = std::min(query.Remaining, shard.Slots.Service.MaxTime);
  SlotAnswer answer;
  if (!hasWaiters(shard, query.Version)) {
    answer.Grant = grantSlot(shard.Slots, query.Version, query.Avoid,
                             now + query.Remaining, now);
    if (answer.Grant) {
      recordUnqueuedRequest(shard.Queue, query.Team, query.Weight);
      return answer;
    }
  }
  if (query.MaxWait > Duration(0))
    return waitForSlot(daemon, shard, query, lock, now);
  answer.Reason = usableSlots(shard.Slots, query.Version, now) > 0
                      ? "overload"
                      : "no-target";
  return answer;
}

void logSlot(const SlotQuery &query, const SlotAnswer &answer) {
  bool granted = answer.Grant.has_value();
  logEvent(granted ? EventCode::SlotGranted : EventCode::SlotRefused,
           {{"trace", query.Trace},
            {"service", query.Service.Value},
            {"version", query.Version.Value},
            {"team", query.Team.Value},
            {"forwarder", query.Forwarder.Value},
            {"target", granted ? answer.Grant->Target.Value : ""},
            {"max_wait_us", query.MaxWait.count()},
            {"reason", answer.Reason}});
}

void updateShard(ServiceShard &shard, const ServiceSpec &spec,
                 const std::set<TargetId> &owned, MonoTime now) {
  shard.Slots.Service = spec;
  shard.Queue.MaxLength = spec.QueueLength;
  std::set<TargetId> kept;
  for (const TargetSpec &it : spec.Targets) {
    if (owned.count(it.Name) == 0)
      continue;
    kept.insert(it.Name);
    adoptTarget(shard.Slots, it, true, now);
  }
  std::vector<TargetId> dropped;
  for (const auto &[name, target] : shard.Slots.Targets)
    if (kept.count(name) == 0)
      dropped.push_back(name);
  for (const TargetId &it : dropped)
    dropTarget(shard.Slots, it);
}

std::vector<std::shared_ptr<ServiceShard>> allShards(Daemon &daemon) {
  std::shared_lock<std::shared_mutex> guard(daemon.Services.Lock);
  std::vector<std::shared_ptr<ServiceShard>> shards;
  for (const auto &[name, shard] : daemon.Services.Services)
    shards.push_back(shard);
  return shards;
}

std::shared_ptr<ServiceShard> shardOfTarget(Daemon &daemon,
                                            const TargetId &target) {
  std::shared_lock<std::shared_mutex> guard(daemon.Services.Lock);
  auto it = daemon.Services.ServiceOfTarget.find(target);
  if (it == daemon.Services.ServiceOfTarget.end())
    return nullptr;
  auto shard = daemon.Services.Services.find(it->second);
  return shard == daemon.Services.Services.end() ? nullptr : shard->second;
}

} // namespace

std::shared_ptr<ServiceShard> serviceShard(Daemon &daemon,
                                           const ServiceId &service) {
  std::shared_lock<std::shared_mutex> guard(daemon.Services.Lock);
  auto it = daemon.Services.Services.find(service);
  return it == daemon.Services.Services.end() ? nullptr : it->second;
}

void applyTargets(Daemon &daemon, const std::set<TargetId> &owned) {
  SnapshotPtr snapshot = currentSnapshot(daemon);
  std::map<ServiceId, std::shared_ptr<ServiceShard>> shards;
  {
    std::unique_lock<std::shared_mutex> guard(daemon.Services.Lock);
    daemon.Services.ServiceOfTarget.clear();
    for (const ServiceSpec &service : snapshot->Conf.Services) {
      auto &shard = daemon.Services.Services[service.Name];
      if (!shard)
        shard = std::make_shared<ServiceShard>();
      shards[service.Name] = shard;
      for (const TargetSpec &it : service.Targets)
        daemon.Services.ServiceOfTarget[it.Name] = service.Name;
    }
    daemon.Services.Services = shards;
  }
  MonoTime now = monoNow();
  for (const ServiceSpec &service : snapshot->Conf.Services) {
    ServiceShard &shard = *shards[service.Name];
    std::lock_guard<std::mutex> guard(shard.Lock);
    updateShard(shard, service, owned, now);
    serveQueue(daemon, shard);
  }
}

SlotAnswer acquireOwnSlot(Daemon &daemon, const SlotQuery &query) {
  SlotAnswer answer;
  std::shared_ptr<ServiceShard> shard = serviceShard(daemon, query.Service);
  if (!shard)
    answer.Reason = "no-target";
  else if (!mayUseOwnedResources(daemon))
    answer.Reason = "no-lease";
  else
    answer = acquireFromShard(daemon, *shard, query);
  if (daemon.Conf.LogDecisions)
    logSlot(query, answer);
  return answer;
}

void releaseOwnSlot(Daemon &daemon, const TargetId &target,
                    std::uint64_t number, SlotResult result, Duration took) {
  std::shared_ptr<ServiceShard> shard = shardOfTarget(daemon, target);
  if (!shard)
    return;
  std::lock_guard<std::mutex> guard(shard->Lock);
  if (result == SlotResult::Done)
    observeServiceTime(shard->Queue, took);
  releaseSlot(shard->Slots, target, number, result, monoNow());
  serveQueue(daemon, *shard);
}

void tickServices(Daemon &daemon) {
  for (const auto &shard : allShards(daemon)) {
    std::lock_guard<std::mutex> guard(shard->Lock);
    MonoTime now = monoNow();
    expireGrants(shard->Slots, now);
    for (std::uint64_t ticket : expireRequests(shard->Queue, now))
      completeWaiter(*shard, ticket, std::nullopt);
    serveQueue(daemon, *shard);
  }
}

std::map<std::pair<ServiceId, VersionId>, PublishedLoad>
publishedLoads(Daemon &daemon) {
  std::map<std::pair<ServiceId, VersionId>, PublishedLoad> loads;
  if (!mayUseOwnedResources(daemon))
    return loads;
  MonoTime now = monoNow();
  for (const auto &shard : allShards(daemon)) {
    std::lock_guard<std::mutex> guard(shard->Lock);
    std::set<VersionId> versions;
    for (const auto &[name, target] : shard->Slots.Targets)
      versions.insert(target.Spec.Version);
    for (const VersionId &it : versions) {
      PublishedLoad load;
      load.FreeSlots = freeSlots(shard->Slots, it, now);
      load.TotalSlots = usableSlots(shard->Slots, it, now);
      load.Queued = static_cast<int>(shard->Queue.Waiting.size());
      loads[{shard->Slots.Service.Name, it}] = load;
    }
  }
  return loads;
}

std::size_t grantsInFlight(Daemon &daemon, const TargetId &target) {
  std::shared_ptr<ServiceShard> shard = shardOfTarget(daemon, target);
  if (!shard)
    return 0;
  std::lock_guard<std::mutex> guard(shard->Lock);
  auto it = shard->Slots.Targets.find(target);
  return it == shard->Slots.Targets.end() ? 0 : it->second.Grants.size();
}

} // namespace savorylb
