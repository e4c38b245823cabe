// Carries out changes of the owner map as the daemon does, against a store
// whose answers can be lost or late.

#include "fleet.h"

namespace savorylb::replay {
namespace {

constexpr Duration StoreDelay = Millis(3);
constexpr Duration LongestStoreDelay = Seconds(5);

/// A VM stays known to its peers for this long after they heard from it.
constexpr Duration SilenceLimit = Seconds(3);

OwnershipView makeView(Fleet &fleet, ReplayVm &vm) {
  OwnershipView view;
  view.Self = vm.Name;
  view.SelfIncarnation = vm.life();
  view.PeerEndpoint = vm.Name.Value;
  view.Doc = vm.Doc;
  view.ConfiguredTargets = fleet.Targets[vm.Zone];
  view.ProvedDeadAt = vm.ProvedDeadAt;
  for (const auto &[member, since] : vm.ProvedDeadAt)
    view.ProvedDead.insert(member);
  for (const ReplayVm &it : fleet.Vms)
    if (it.Zone == vm.Zone && fleet.Time.Now - it.LastHeard <= SilenceLimit)
      view.Alive.insert(it.Name);
  if (fleet.Inform)
    fleet.Inform(vm, view);
  return view;
}

void notifyZones(Fleet &fleet, const ZoneId &zone) {
  for (ReplayVm &it : fleet.Vms)
    if (it.Zone == zone)
      fleet.Time.after(StoreDelay, [&fleet, &it] {
        runInVm(fleet, it, it.Lives, [&fleet, &it] { readStore(fleet, it); });
      });
}

void applyWrite(Fleet &fleet, const ReplayVm &vm, const OwnershipPlan &plan,
                Revision base, bool lost) {
  ZoneDocument &stored = fleet.Store[vm.Zone];
  bool written = !fleet.StoreDown && stored.Rev == base;
  fleet.Log.note(fleet.Time.Now,
                 vm.Name.Value + " step " +
                     std::to_string(static_cast<int>(plan.Step)) + " " +
                     plan.AffectedVm.Value + " rev " +
                     std::to_string(plan.Next.Rev.Value) +
                     (written ? " written" : " conflict"));
  if (!written)
    return;
  stored = plan.Next;
  if (!lost)
    notifyZones(fleet, vm.Zone);
}

/// Stops the use of what the plan gives away, then writes.
void writePlan(Fleet &fleet, ReplayVm &vm, const OwnershipPlan &plan) {
  if (fleet.Prepare && !fleet.Prepare(vm, plan))
    return;
  beginChange(vm.Pending, vm.Grants, vm.Own, plan, vm.Doc, clockOf(fleet, vm));
  if (fleet.Changed)
    fleet.Changed(vm, vm.Doc);
  if (!reachesStore(fleet, vm)) {
    // A request that got no connection leaves its outcome open here, which is
    // the stricter case.
    vm.StoreReachable = false;
    return;
  }
  bool lost = fleet.Rand.chance(fleet.LostWrites);
  Duration delay = StoreDelay;
  if (fleet.Rand.chance(fleet.LateWrites))
    delay += Duration(fleet.Rand.below(LongestStoreDelay.count()));
  Revision base = vm.Doc.Rev;
  fleet.Time.after(delay, [&fleet, &vm, plan, base, lost] {
    applyWrite(fleet, vm, plan, base, lost);
  });
}

} // namespace

void readStore(Fleet &fleet, ReplayVm &vm) {
  vm.StoreReachable = reachesStore(fleet, vm);
  if (!vm.StoreReachable)
    return;
  MonoTime askedAt = clockOf(fleet, vm);
  auto maps = fleet.Store;
  fleet.Time.after(StoreDelay, [&fleet, &vm, lives = vm.Lives, askedAt,
                                maps = std::move(maps)] {
    runInVm(fleet, vm, lives, [&fleet, &vm, askedAt, maps] {
      ZoneDocument previous = vm.Doc;
      if (vm.Doc.Rev < maps.at(vm.Zone).Rev)
        vm.Doc = maps.at(vm.Zone);
      vm.Maps = maps;
      resolveChange(vm.Pending, vm.Grants, vm.Own, vm.Doc, vm.Name, vm.life());
      recordStoreContact(vm.Own, askedAt);
      if (fleet.Changed)
        fleet.Changed(vm, previous);
    });
  });
}

void runOwnershipStep(Fleet &fleet, ReplayVm &vm) {
  if (!vm.StoreReachable)
    return;
  OwnershipPlan plan = planOwnership(makeView(fleet, vm), vm.Grants,
                                     clockOf(fleet, vm), fleet.Times);
  if (plan.Step == OwnershipStep::None)
    return;
  if (plan.Step != OwnershipStep::NameSuccessor)
    return writePlan(fleet, vm, plan);
  Incarnation life = plan.Next.Members.at(plan.AffectedVm).VmIncarnation;
  requestLease(fleet, vm, plan.AffectedVm, life,
               [&fleet, &vm, plan, life](auto at) {
                 if (vm.Doc.Rev + Revision(1) != plan.Next.Rev)
                   return;
                 writePlan(fleet, vm, plan);
                 renewCandidate(vm.Own, plan.AffectedVm, life, at, fleet.Times);
               });
}

} // namespace savorylb::replay
