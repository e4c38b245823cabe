#include "control_loop.h"

#include "daemon.h"
#include "heartbeat.h"
#include "key_freshness.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"
#include "store_watch.h"
#include "target_probes.h"

#include <algorithm>
#include <functional>

namespace savorylb {
namespace {

constexpr Duration TickInterval = Millis(100);
constexpr Duration HeartbeatInterval = Millis(1000);
constexpr Duration OwnershipInterval = Millis(1000);
/// Interval during StartupTime, so that a VM joins its zone and claims its
/// resources soon after the start.
constexpr Duration StartupOwnershipInterval = Millis(150);
constexpr Duration StartupTime = Seconds(5);
constexpr Duration RolloutInterval = Millis(500);
constexpr Duration VmListInterval = Millis(1000);
/// VMs that learn of departing VMs by heartbeats poll the VM list only once in
/// this many rounds, i.e. every 10 s.
constexpr int SparseVmListRounds = 10;
constexpr Duration ProbeInterval = Millis(1000);
/// Interval of reading newer documents and missing states from peers.
constexpr Duration PullInterval = Millis(250);
constexpr int ProbeWorkers = 3;

/// Waits for a time without polling; a stop of the daemon ends it early.
void waitUnlessStopping(Daemon &daemon, Duration span) {
  std::unique_lock<std::mutex> guard(daemon.StopLock);
  daemon.StopSignal.wait_for(guard, span,
                             [&daemon] { return daemon.Stopping.load(); });
}

std::thread startPeriodicThread(Daemon &daemon, Duration interval,
                                std::function<void(Daemon &)> job) {
  return std::thread([&daemon, interval, job = std::move(job)] {
    while (!daemon.Stopping) {
      job(daemon);
      waitUnlessStopping(daemon, interval);
    }
  });
}

void reportLeaseChange(Daemon &daemon) {
  bool hasLease = mayUseOwnedResources(daemon);
  bool changed = false;
  {
    std::lock_guard<std::mutex> guard(daemon.Membership.Lock);
    changed = daemon.Membership.HadLease != hasLease;
    daemon.Membership.HadLease = hasLease;
  }
  if (changed)
    logEvent(hasLease ? EventCode::LeaseRegained : EventCode::LeaseLost, {});
  setGauge("lease_held", hasLease ? 1 : 0);
}

/// The cost of a refresh is proportional to the number of VMs, so it is done
/// less often in a large fleet: at each tick with fewer than 64 VMs, each
/// second with 576 VMs or more.
bool isViewRefreshDue(Daemon &daemon) {
  constexpr std::size_t VmsPerTick = 64;
  constexpr std::size_t MaxTicksPerRefresh = 10;
  std::size_t ticksPerRefresh =
      std::min(MaxTicksPerRefresh, 1 + knownVms(daemon)->size() / VmsPerTick);
  static std::size_t ticks = 0;
  return ++ticks % ticksPerRefresh == 0;
}

void runControlTick(Daemon &daemon) {
  reportLeaseChange(daemon);
  tickServices(daemon);
  tickLedger(daemon);
  if (isViewRefreshDue(daemon))
    refreshViews(daemon);
  tickKeyFreshness(daemon);
  removeSilentVms(daemon);
}

Duration ownershipInterval(Daemon &daemon) {
  return monoNow() - daemon.StartedAt < StartupTime ? StartupOwnershipInterval
                                                    : OwnershipInterval;
}

void runOwnership(Daemon &daemon) {
  while (!daemon.Stopping) {
    if (!daemon.HandingOff) {
      ensureReplica(daemon);
      runOwnershipStep(daemon);
    }
    waitUnlessStopping(daemon, ownershipInterval(daemon));
  }
}

} // namespace

ControlThreads startControlThreads(Daemon &daemon) {
  ControlThreads threads;
  threads.push_back(startPeriodicThread(daemon, TickInterval, runControlTick));
  threads.push_back(startPeriodicThread(
      daemon, daemon.Membership.Times.RenewEvery, renewOwnLease));
  threads.push_back(
      startPeriodicThread(daemon, HeartbeatInterval,
                          [](Daemon &it) { sendHeartbeats(it, false); }));
  threads.push_back(startPeriodicThread(daemon, PullInterval, [](Daemon &it) {
    pullNewerDocuments(it);
    requestMissingStates(it);
  }));
  threads.push_back(
      startPeriodicThread(daemon, RolloutInterval, runRolloutStep));
  threads.push_back(
      startPeriodicThread(daemon, VmListInterval, [n = 0](Daemon &it) mutable {
        if (n++ % SparseVmListRounds == 0 || watchesAllDocuments(it))
          pollVmList(it);
      }));
  threads.emplace_back([&daemon] { runOwnership(daemon); });
  // This thread is not joined: its blocking query of up to 10 s would delay the
  // end of a drain by the same time.
  std::thread([&daemon] { watchStore(daemon); }).detach();
  for (int worker = 0; worker < ProbeWorkers; ++worker)
    threads.push_back(
        startPeriodicThread(daemon, ProbeInterval, [worker](Daemon &it) {
          probeTargets(it, worker, ProbeWorkers);
        }));
  return threads;
}

} // namespace savorylb
