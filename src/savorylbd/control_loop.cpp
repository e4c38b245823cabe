#include "control_loop.h"

#include "daemon.h"
#include "heartbeat.h"
#include "key_freshness.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"
#include "store_watch.h"
#include "target_probes.h"

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
constexpr Duration StopPoll = Millis(50);
constexpr int ProbeWorkers = 3;

/// Sleeps in short parts, so that a stop is noticed.
void pause(Daemon &daemon, Duration span) {
  MonoTime until = monoNow() + span;
  while (!daemon.Stopping) {
    Duration left = until - monoNow();
    if (left <= Duration(0))
      return;
    std::this_thread::sleep_for(std::min(left, StopPoll));
  }
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

void tick(Daemon &daemon) {
  noteLease(daemon);
  tickServices(daemon);
  tickLedger(daemon);
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
    if (!daemon.Closing) {
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
  threads.emplace_back([&daemon] { watchStore(daemon); });
  for (int worker = 0; worker < ProbeWorkers; ++worker)
    threads.push_back(repeat(daemon, ProbeInterval, [worker](Daemon &it) {
      probeTargets(it, worker, ProbeWorkers);
    }));
  return threads;
}

} // namespace savorylb
