#include "target_probes.h"

#include "daemon.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/hash.h"

#include <vector>

namespace savorylb {
namespace {

struct ProbeJob {
  std::shared_ptr<ServiceShard> Shard;
  TargetSpec Spec;
};

std::vector<ProbeJob> jobsForWorker(Daemon &daemon, int worker, int workers) {
  std::vector<ProbeJob> jobs;
  std::shared_lock<std::shared_mutex> guard(daemon.Services.Lock);
  for (const auto &[name, shard] : daemon.Services.Services) {
    std::lock_guard<std::mutex> inner(shard->Lock);
    for (const auto &[target, owned] : shard->Slots.Targets) {
      auto slot = stableHash(target.Value) % static_cast<unsigned>(workers);
      if (static_cast<int>(slot) == worker)
        jobs.push_back({shard, owned.Spec});
    }
  }
  return jobs;
}

/// A draining target counts as healthy: it still completes its requests, which
/// must not count as failures.
bool isHealthy(const Result<TargetHealth> &health) {
  return health && health.value() != TargetHealth::NotReady;
}

/// Applies the result of a probe.
/// \returns true when the target became healthy or unhealthy.
bool recordHealth(ServiceShard &shard, const TargetId &target,
                  const Result<TargetHealth> &health) {
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.Slots.Targets.find(target);
  if (it == shard.Slots.Targets.end())
    return false;
  bool before = it->second.Healthy;
  // A failed probe does not tell whether the target is still draining.
  if (health)
    applyDraining(shard.Slots, target,
                  health.value() == TargetHealth::Draining);
  applyHealthProbe(shard.Slots, target, isHealthy(health), monoNow());
  return it->second.Healthy != before;
}

} // namespace

void probeTargets(Daemon &daemon, int worker, int workers) {
  for (const ProbeJob &it : jobsForWorker(daemon, worker, workers)) {
    if (daemon.Stopping)
      return;
    Result<TargetHealth> health = daemon.Targets.ProbeHealth(it.Spec.Address);
    if (recordHealth(*it.Shard, it.Spec.Name, health))
      logEvent(isHealthy(health) ? EventCode::TargetUp : EventCode::TargetDown,
               {{"target", it.Spec.Name.Value},
                {"reason", health ? "probe" : health.error().Message}});
    if (!health)
      continue;
    Result<LoadReport> load = daemon.Targets.ReadLoad(it.Spec.Address);
    if (!load)
      continue;
    std::lock_guard<std::mutex> guard(it.Shard->Lock);
    applyLoadReport(it.Shard->Slots, it.Spec.Name, load.value(), monoNow());
  }
}

} // namespace savorylb
