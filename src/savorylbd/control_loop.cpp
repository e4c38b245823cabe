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
/// Soon after the start a VM joins and claims in quick steps.
constexpr Duration StartInterval = Millis(150);
constexpr Duration StartTime = Seconds(5);
constexpr Duration RolloutInterval = Millis(500);
constexpr Duration VmListInterval = Millis(1000);
/// VMs that hear of departing ones by heartbeats read the list each 10 s.
constexpr int VmListSparse = 10;
constexpr Duration ProbeInterval = Millis(1000);
constexpr Duration PullInterval = Millis(250);
constexpr int ProbeWorkers = 3;

/// Waits without waking up in between; a stop ends the wait.
void pause(Daemon &daemon, Duration span) {
  std::unique_lock<std::mutex> guard(daemon.StopLock);
  daemon.StopSignal.wait_for(guard, span,
                             [&daemon] { return daemon.Stopping.load(); });
}

std::thread repeat(Daemon &daemon, Duration interval,
                   std::function<void(Daemon &)> job) {
  return std::thread([&daemon, interval, job = std::move(job)] {
    while (!daemon.Stopping) {
      job(daemon);
      pause(daemon, interval);
    }
  });
}

void noteLease(Daemon &daemon) {
  bool licensed = mayUseOwned(daemon);
  bool changed = false;
  {
    std::lock_guard<std::mutex> guard(daemon.Membership.Lock);
    changed = daemon.Membership.WasLicensed != licensed;
    daemon.Membership.WasLicensed = licensed;
  }
  if (changed)
    logEvent(licensed ? EventCode::LeaseRegained : EventCode::LeaseLost, {});
  setGauge("lease_held", licensed ? 1 : 0);
}

/// The copy of all views costs time in proportion to the fleet, so a large one
/// is copied less often: each tick up to 64 VMs, each second from 640 VMs on.
bool viewsDue(Daemon &daemon) {
  constexpr std::size_t VmsPerTick = 64;
  constexpr std::size_t LongestWait = 10;
  std::size_t wait =
      std::min(LongestWait, 1 + knownVms(daemon)->size() / VmsPerTick);
  static std::size_t ticks = 0;
  return ++ticks % wait == 0;
}

void tick(Daemon &daemon) {
  noteLease(daemon);
  tickServices(daemon);
  tickLedger(daemon);
  if (viewsDue(daemon))
    refreshViews(daemon);
  tickKeyFreshness(daemon);
  forgetSilentVms(daemon);
}

Duration ownershipInterval(Daemon &daemon) {
  return monoNow() - daemon.StartedAt < StartTime ? StartInterval
                                                  : OwnershipInterval;
}

void runOwnership(Daemon &daemon) {
  while (!daemon.Stopping) {
    if (!daemon.HandingOff) {
      ensureReplica(daemon);
      runOwnershipStep(daemon);
    }
    pause(daemon, ownershipInterval(daemon));
  }
}

} // namespace

ControlThreads startControl(Daemon &daemon) {
  ControlThreads threads;
  threads.push_back(repeat(daemon, TickInterval, tick));
  threads.push_back(
      repeat(daemon, daemon.Membership.Times.RenewEvery, renewOwnLease));
  threads.push_back(repeat(daemon, HeartbeatInterval,
                           [](Daemon &it) { sendHeartbeats(it, false); }));
  threads.push_back(repeat(daemon, PullInterval, [](Daemon &it) {
    pullNewerDocuments(it);
    askForViews(it);
  }));
  threads.push_back(repeat(daemon, RolloutInterval, runRolloutStep));
  threads.push_back(repeat(daemon, VmListInterval, [n = 0](Daemon &it) mutable {
    if (n++ % VmListSparse == 0 || watchesAllDocuments(it))
      pollVmList(it);
  }));
  threads.emplace_back([&daemon] { runOwnership(daemon); });
  // Nobody waits for its end: a waiting query of up to 10 s would delay the end
  // of a planned stop by as much.
  std::thread([&daemon] { watchStore(daemon); }).detach();
  for (int worker = 0; worker < ProbeWorkers; ++worker)
    threads.push_back(repeat(daemon, ProbeInterval, [worker](Daemon &it) {
      probeTargets(it, worker, ProbeWorkers);
    }));
  return threads;
}

} // namespace savorylb
