#ifndef SAVORYLB_REPLAY_FLEET_H
#define SAVORYLB_REPLAY_FLEET_H

#include "decision_log.h"
#include "random.h"
#include "replay_vm.h"
#include "trace.h"
#include "virtual_time.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace savorylb::replay {

/// VMs, their owner maps in the store, and the faults between them.
struct Fleet {
  VirtualTime Time;
  Random Rand;
  DecisionLog &Log;
  LeaseTimes Times;
  std::vector<ReplayVm> Vms;
  std::map<ZoneId, ZoneDocument> Store;
  std::map<ZoneId, std::set<TargetId>> Targets;
  /// Zones that reach neither the store nor other zones.
  std::set<ZoneId> Cut;
  bool StoreDown = false;
  /// Chance that a write takes effect and nobody learns of it, and that it is
  /// delayed by up to LongestStoreDelay.
  double LostWrites = 0;
  double LateWrites = 0;
  Duration ZoneDelay{};
  Duration RegionDelay{};
  /// Called when what a VM may use has changed; with the owner map before it.
  std::function<void(ReplayVm &, const ZoneDocument &previous)> Changed;
  /// Called when a VM has started.
  std::function<void(ReplayVm &)> Started;
  /// Adds to what a VM knows before it plans a change.
  std::function<void(ReplayVm &, OwnershipView &)> Inform;
  /// Brings a next successor or receiver up to date before a write.
  /// \returns false when the change has to wait.
  std::function<bool(ReplayVm &, const OwnershipPlan &)> Prepare;

  Fleet(const Trace &trace, DecisionLog &log);
};

/// Starts all VMs and schedules the trace's events.
void startFleet(Fleet &fleet, const Trace &trace);

ReplayVm &vmOf(Fleet &fleet, const VmId &name);
/// \returns whether the process runs now.
bool isRunning(const Fleet &fleet, const ReplayVm &vm);
/// \returns whether messages pass between two VMs.
bool canReach(const Fleet &fleet, const ReplayVm &from, const ReplayVm &to);
/// \returns the time of a message between two VMs.
Duration delayBetween(const Fleet &fleet, const ReplayVm &from,
                      const ReplayVm &to);
/// Sends a message; it is lost when the receiver is cut off or ends first, and
/// waits while it is paused.
void sendMessage(Fleet &fleet, const ReplayVm &from, ReplayVm &to,
                 std::function<void()> what);
/// Runs something in a process; when it is paused, after that.
void runInVm(Fleet &fleet, ReplayVm &vm, int lives, std::function<void()> what);
/// \returns whether a VM may use what it owns, as checked at the moment of use.
bool mayUseOwned(Fleet &fleet, ReplayVm &vm);
/// \returns the VM's clock now.
MonoTime clockOf(const Fleet &fleet, const ReplayVm &vm);
/// \returns whether a VM reaches the store.
bool reachesStore(const Fleet &fleet, const ReplayVm &vm);
/// One step of a VM's ownership: plans a change and writes it.
void runOwnershipStep(Fleet &fleet, ReplayVm &vm);
/// Adopts the owner map of the store.
void readStore(Fleet &fleet, ReplayVm &vm);
/// \returns whether an incarnation is dead for all to see.
bool isProvedDead(Fleet &fleet, const VmId &vm, const Incarnation &life);
/// Asks another VM for a lease.
void requestLease(Fleet &fleet, ReplayVm &from, const VmId &to,
                  const Incarnation &life,
                  std::function<void(MonoTime sentAt)> granted);

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_FLEET_H
