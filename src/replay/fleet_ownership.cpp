// Plans and writes changes of the owner map as the daemon does, with a store
// that can apply a write late or not notify the VMs of it.

#include "fleet_simulation.h"

namespace savorylb::replay {
namespace {

constexpr Duration StoreDelay = Millis(3);
/// Maximum additional delay of a late write.
constexpr Duration MaxStoreDelay = Seconds(5);

/// How long peers consider a VM alive after its last tick; the same as
/// VmSilenceLimit in savorylb/vm_view.h.
constexpr Duration SilenceLimit = Seconds(3);

OwnershipView makeView(FleetSimulation &fleet, SimulatedVm &vm) {
  OwnershipView view;
  view.Self = vm.Name;
  view.SelfIncarnation = vm.incarnation();
  view.PeerEndpoint = vm.Name.Value;
  view.Doc = vm.Doc;
  view.ConfiguredTargets = fleet.Targets[vm.Zone];
  view.ProvedDeadAt = vm.ProvedDeadAt;
  for (const auto &[member, since] : vm.ProvedDeadAt)
    view.ProvedDead.insert(member);
  for (const SimulatedVm &it : fleet.Vms)
    if (it.Zone == vm.Zone && fleet.Clock.Now - it.LastTickAt <= SilenceLimit)
      view.Alive.insert(it.Name);
  if (fleet.ExtendView)
    fleet.ExtendView(vm, view);
  return view;
}

void notifyZone(FleetSimulation &fleet, const ZoneId &zone) {
  for (SimulatedVm &it : fleet.Vms)
    if (it.Zone == zone)
      fleet.Clock.after(StoreDelay, [&fleet, &it] {
        runInVm(fleet, it, it.StartCount,
                [&fleet, &it] { readStore(fleet, it); });
      });
}

void applyWrite(FleetSimulation &fleet, const SimulatedVm &vm,
                const OwnershipPlan &plan, Revision base,
                bool notificationLost) {
  ZoneDocument &stored = fleet.StoredDocuments[vm.Zone];
  bool written = !fleet.StoreDown && stored.Rev == base;
  fleet.Log.record(fleet.Clock.Now,
                   vm.Name.Value + " step " +
                       std::to_string(static_cast<int>(plan.Step)) + " " +
                       plan.AffectedVm.Value + " rev " +
                       std::to_string(plan.Next.Rev.Value) +
                       (written ? " written" : " conflict"));
  if (!written)
    return;
  stored = plan.Next;
  if (!notificationLost)
    notifyZone(fleet, vm.Zone);
}

/// Stops using the resources that the plan releases, then writes the owner map.
void writePlan(FleetSimulation &fleet, SimulatedVm &vm,
               const OwnershipPlan &plan) {
  if (fleet.PrepareWrite && !fleet.PrepareWrite(vm, plan))
    return;
  beginChange(vm.Pending, vm.Grants, vm.OwnLease, plan, vm.Doc,
              clockOf(fleet, vm));
  if (fleet.OnOwnershipChange)
    fleet.OnOwnershipChange(vm, vm.Doc);
  if (!reachesStore(fleet, vm)) {
    // The outcome of a write without a connection is treated as unknown here,
    // which is the stricter case.
    vm.StoreReachable = false;
    return;
  }
  bool notificationLost = fleet.Rand.chance(fleet.LostNotificationChance);
  Duration delay = StoreDelay;
  if (fleet.Rand.chance(fleet.LateWriteChance))
    delay += Duration(fleet.Rand.below(MaxStoreDelay.count()));
  Revision base = vm.Doc.Rev;
  fleet.Clock.after(delay, [&fleet, &vm, plan, base, notificationLost] {
    applyWrite(fleet, vm, plan, base, notificationLost);
  });
}

} // namespace

void readStore(FleetSimulation &fleet, SimulatedVm &vm) {
  vm.StoreReachable = reachesStore(fleet, vm);
  if (!vm.StoreReachable)
    return;
  MonoTime askedAt = clockOf(fleet, vm);
  auto documents = fleet.StoredDocuments;
  fleet.Clock.after(StoreDelay, [&fleet, &vm, startCount = vm.StartCount,
                                 askedAt, documents = std::move(documents)] {
    runInVm(fleet, vm, startCount, [&fleet, &vm, askedAt, documents] {
      ZoneDocument previous = vm.Doc;
      if (vm.Doc.Rev < documents.at(vm.Zone).Rev)
        vm.Doc = documents.at(vm.Zone);
      vm.ZoneDocuments = documents;
      resolveChange(vm.Pending, vm.Grants, vm.OwnLease, vm.Doc, vm.Name,
                    vm.incarnation());
      recordStoreContact(vm.OwnLease, askedAt);
      if (fleet.OnOwnershipChange)
        fleet.OnOwnershipChange(vm, previous);
    });
  });
}

void runOwnershipStep(FleetSimulation &fleet, SimulatedVm &vm) {
  if (!vm.StoreReachable)
    return;
  OwnershipPlan plan = planOwnership(makeView(fleet, vm), vm.Grants,
                                     clockOf(fleet, vm), fleet.Times);
  if (plan.Step == OwnershipStep::None)
    return;
  if (plan.Step != OwnershipStep::NameSuccessor)
    return writePlan(fleet, vm, plan);
  Incarnation incarnation = plan.Next.Members.at(plan.AffectedVm).VmIncarnation;
  requestLease(fleet, vm, plan.AffectedVm, incarnation,
               [&fleet, &vm, plan, incarnation](auto at) {
                 if (vm.Doc.Rev + Revision(1) != plan.Next.Rev)
                   return;
                 writePlan(fleet, vm, plan);
                 renewCandidate(vm.OwnLease, plan.AffectedVm, incarnation, at,
                                fleet.Times);
               });
}

} // namespace savorylb::replay
