#include "rollout_shards.h"

#include "daemon.h"
#include "heartbeat.h"
#include "savorylb/active_version.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

#include <algorithm>

namespace savorylb {
namespace {

std::vector<std::shared_ptr<RolloutShard>> allRollouts(Daemon &daemon) {
  std::lock_guard<std::mutex> guard(daemon.Rollouts.Lock);
  std::vector<std::shared_ptr<RolloutShard>> shards;
  for (const auto &[service, shard] : daemon.Rollouts.Services)
    shards.push_back(shard);
  return shards;
}

std::string recordKey(const ServiceId &service) {
  return RolloutsPrefix + service.Value;
}

void logPhase(const RolloutRecord &record) {
  EventCode code = EventCode::RolloutStepped;
  if (record.Phase == RolloutPhase::RolledBack)
    code = EventCode::RolloutRolledBack;
  else if (record.Phase == RolloutPhase::Done)
    code = EventCode::RolloutDone;
  else if (record.Phase == RolloutPhase::Late)
    code = EventCode::RolloutLate;
  logEvent(code, {{"rollout", record.Name.Value},
                  {"service", record.Service.Value},
                  {"share_ppm", record.Share.Value},
                  {"proven", record.Proven},
                  {"reason", record.Reason}});
}

/// Adopts a record. All rollouts of a service share one document, so a new
/// rollout continues the revisions of the previous one; lower ones would be
/// treated as an old document. It also keeps the list of versions that were
/// rolled back.
void mergeRecord(Rollout &rollout, const RolloutRecord &record) {
  if (record.Name == rollout.Spec.Name)
    adoptRecord(rollout, record);
  else if (rollout.Record.Phase == RolloutPhase::Waiting &&
           record.Rev > rollout.Record.Rev) {
    rollout.Record.Rev = record.Rev;
    rollout.Record.RolledBackVersions = record.RolledBackVersions;
  }
}

/// Updates the active version of each service; the caller holds
/// RolloutShards::Lock.
void updateActiveVersions(RolloutShards &rollouts, const Config &config) {
  rollouts.ActiveVersions.clear();
  for (const ServiceSpec &service : config.Services) {
    auto it = rollouts.Records.find(service.Name);
    const RolloutRecord *record =
        it == rollouts.Records.end() ? nullptr : &it->second;
    rollouts.ActiveVersions[service.Name] = activeVersion(service, record);
  }
}

/// Writes a record by compare-and-swap. A conflict needs no retry: another VM
/// wrote its record first, and that one is read back.
void writeRecord(Daemon &daemon, const RolloutRecord &record) {
  std::string key = recordKey(record.Service);
  CachedDocument held = heldDocument(daemon, key);
  Result<void> written = daemon.Store.CompareAndSwap(
      key, formatRolloutRecord(record), held.StoreIndex);
  Result<StoreValue> value = daemon.Store.Get(key);
  if (value)
    receiveDocument(daemon, key, value.value().Content,
                    value.value().ModifyIndex, DocumentSource::Store);
  if (written)
    logPhase(record);
}

} // namespace

std::shared_ptr<RolloutShard> findRollout(Daemon &daemon,
                                          const ServiceId &service) {
  std::lock_guard<std::mutex> guard(daemon.Rollouts.Lock);
  auto it = daemon.Rollouts.Services.find(service);
  return it == daemon.Rollouts.Services.end() ? nullptr : it->second;
}

void applyRollouts(Daemon &daemon, const Config &config) {
  std::map<ServiceId, std::shared_ptr<RolloutShard>> next;
  for (const RolloutSpec &spec : config.Rollouts) {
    std::shared_ptr<RolloutShard> shard = findRollout(daemon, spec.Service);
    bool same = shard && shard->State.Spec.Name == spec.Name;
    if (!same) {
      shard = std::make_shared<RolloutShard>();
      shard->State.Spec = spec;
      shard->State.Record.Name = spec.Name;
      shard->State.Record.Service = spec.Service;
      CachedDocument held = heldDocument(daemon, recordKey(spec.Service));
      if (!held.Content.empty()) {
        Result<RolloutRecord> record = parseRolloutRecord(held.Content);
        if (record)
          mergeRecord(shard->State, record.value());
      }
    }
    {
      std::lock_guard<std::mutex> guard(shard->Lock);
      shard->State.Spec = spec;
    }
    next[spec.Service] = shard;
  }
  std::lock_guard<std::mutex> guard(daemon.Rollouts.Lock);
  daemon.Rollouts.Services = std::move(next);
  updateActiveVersions(daemon.Rollouts, config);
}

void applyRolloutRecord(Daemon &daemon, const RolloutRecord &record) {
  SnapshotPtr snapshot = currentSnapshot(daemon);
  {
    std::lock_guard<std::mutex> guard(daemon.Rollouts.Lock);
    daemon.Rollouts.Records[record.Service] = record;
    updateActiveVersions(daemon.Rollouts, snapshot->Conf);
  }
  std::shared_ptr<RolloutShard> shard = findRollout(daemon, record.Service);
  if (!shard)
    return;
  std::lock_guard<std::mutex> guard(shard->Lock);
  mergeRecord(shard->State, record);
}

VersionId versionFor(Daemon &daemon, const ServiceId &service,
                     const RouteId &route) {
  std::shared_ptr<RolloutShard> shard;
  {
    std::lock_guard<std::mutex> guard(daemon.Rollouts.Lock);
    auto it = daemon.Rollouts.Services.find(service);
    if (it == daemon.Rollouts.Services.end())
      return daemon.Rollouts.ActiveVersions[service];
    shard = it->second;
  }
  std::lock_guard<std::mutex> guard(shard->Lock);
  return chooseVersion(shard->State, route);
}

bool versionStopped(Daemon &daemon, const ServiceId &service,
                    const VersionId &version) {
  std::shared_ptr<RolloutShard> shard = findRollout(daemon, service);
  if (!shard || version.empty())
    return false;
  std::lock_guard<std::mutex> guard(shard->Lock);
  const Rollout &rollout = shard->State;
  bool rolledBack = rollout.Record.Phase == RolloutPhase::RolledBack;
  return version == rollout.Spec.To && (rollout.Stopped || rolledBack);
}

VersionId fallbackVersion(Daemon &daemon, const ServiceId &service,
                          const VersionId &version) {
  std::shared_ptr<RolloutShard> shard = findRollout(daemon, service);
  if (!shard || version.empty())
    return VersionId();
  std::lock_guard<std::mutex> guard(shard->Lock);
  const Rollout &rollout = shard->State;
  bool running = rollout.Record.Phase != RolloutPhase::Done;
  return running && version == rollout.Spec.To ? rollout.Spec.From
                                               : VersionId();
}

void observeRequest(Daemon &daemon, const ServiceId &service,
                    const RouteId &route, const VersionId &version, bool failed,
                    Duration took) {
  std::shared_ptr<RolloutShard> shard = findRollout(daemon, service);
  if (!shard)
    return;
  std::string reason;
  {
    std::lock_guard<std::mutex> guard(shard->Lock);
    if (!observeResult(shard->State, route, version, failed, took))
      return;
    reason = shard->State.StopReason;
  }
  incrementCounter("rollouts_stopped");
  logEvent(EventCode::RolloutStopped, {{"service", service.Value},
                                       {"route", route.Value},
                                       {"version", version.Value},
                                       {"reason", reason}});
  // Tells all peers at once: the next regular heartbeat goes to only a few, and
  // this VM may die before it.
  sendHeartbeats(daemon, true);
}

void runRolloutStep(Daemon &daemon) {
  WallTime now = wallNow();
  for (const auto &shard : allRollouts(daemon)) {
    std::optional<RolloutRecord> next;
    {
      std::lock_guard<std::mutex> guard(shard->Lock);
      next = planRollout(shard->State, now);
    }
    if (next)
      writeRecord(daemon, *next);
  }
}

} // namespace savorylb
