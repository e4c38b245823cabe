#ifndef SAVORYLB_REPLAY_FLEET_SIMULATION_H
#define SAVORYLB_REPLAY_FLEET_SIMULATION_H

#include "decision_log.h"
#include "random.h"
#include "simulated_vm.h"
#include "trace.h"
#include "virtual_clock.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace savorylb::replay {

/// Simulates the VMs, the store with the owner maps of their zones, the network
/// between them, and faults of all three.
struct FleetSimulation {
  VirtualClock Clock;
  Random Rand;
  DecisionLog &Log;
  LeaseTimes Times;
  std::vector<SimulatedVm> Vms;
  /// Owner maps of all zones in the store.
  std::map<ZoneId, ZoneDocument> StoredDocuments;
  std::map<ZoneId, std::set<TargetId>> Targets;
  /// Zones without a network connection to the store and to other zones.
  std::set<ZoneId> IsolatedZones;
  bool StoreDown = false;
  /// Probability that a write takes effect without any VM being notified.
  double LostNotificationChance = 0;
  /// Probability that a write is delayed by up to MaxStoreDelay.
  double LateWriteChance = 0;
  /// One-way latency between two zones of a region.
  Duration InterZoneDelay{};
  /// One-way latency between two regions.
  Duration InterRegionDelay{};
  /// Called when the resources that a VM may use may have changed.
  /// \param previous the VM's owner map before the change.
  std::function<void(SimulatedVm &, const ZoneDocument &previous)>
      OnOwnershipChange;
  /// Called after each start of a VM.
  std::function<void(SimulatedVm &)> OnVmStart;
  /// Completes the view of a VM before it plans a change.
  std::function<void(SimulatedVm &, OwnershipView &)> ExtendView;
  /// Sends state to a new successor or receiver before the owner map is
  /// written. \returns false when the change has to wait.
  std::function<bool(SimulatedVm &, const OwnershipPlan &)> PrepareWrite;

  FleetSimulation(const Trace &trace, DecisionLog &log);
};

/// Starts all VMs and schedules the trace's events.
void startFleet(FleetSimulation &fleet, const Trace &trace);

SimulatedVm &vmOf(FleetSimulation &fleet, const VmId &name);
/// \returns whether the process is up and not paused.
bool isRunning(const FleetSimulation &fleet, const SimulatedVm &vm);
/// \returns whether the network connects two VMs.
bool canReach(const FleetSimulation &fleet, const SimulatedVm &from,
              const SimulatedVm &to);
/// \returns the latency of a message between two VMs.
Duration delayBetween(const FleetSimulation &fleet, const SimulatedVm &from,
                      const SimulatedVm &to);
/// Delivers a message by running a task on the receiver. It is lost when the
/// receiver is unreachable or ends before the delivery, and waits while the
/// receiver is paused.
void sendMessage(FleetSimulation &fleet, const SimulatedVm &from,
                 SimulatedVm &to, std::function<void()> task);
/// Runs a task in a process, after the end of a pause if it is paused.
/// \param startCount identifies the process; the task is dropped when it has
/// ended.
void runInVm(FleetSimulation &fleet, SimulatedVm &vm, int startCount,
             std::function<void()> task);
/// Checks whether a VM may use the resources it owns now. Also detects a pause
/// of the VM, as the daemon does before each use.
bool mayUseOwned(FleetSimulation &fleet, SimulatedVm &vm);
/// \returns the current time on the VM's clock.
MonoTime clockOf(const FleetSimulation &fleet, const SimulatedVm &vm);
/// \returns whether a VM reaches the store.
bool reachesStore(const FleetSimulation &fleet, const SimulatedVm &vm);
/// Plans a change of the owner map on a VM and writes it.
void runOwnershipStep(FleetSimulation &fleet, SimulatedVm &vm);
/// Reads the owner maps from the store and adopts that of the VM's zone.
void readStore(FleetSimulation &fleet, SimulatedVm &vm);
/// \returns whether any VM can prove that an incarnation has ended.
bool isProvedDead(FleetSimulation &fleet, const VmId &vm,
                  const Incarnation &incarnation);
/// Requests a lease from another VM.
/// \param incarnation the incarnation of the other VM that must grant it.
/// \param granted called on the requesting VM when the grant arrives.
void requestLease(FleetSimulation &fleet, SimulatedVm &from, const VmId &to,
                  const Incarnation &incarnation,
                  std::function<void(MonoTime sentAt)> granted);

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_FLEET_SIMULATION_H
