// Carries out changes of the owner map that the decision library plans.

#include "daemon.h"
#include "peer_calls.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

#include <chrono>
#include <thread>

namespace savorylb {
namespace {

/// How long a handoff waits for requests in flight on the released targets.
constexpr Duration HandOffPatience = Seconds(2);
constexpr Duration PollInterval = Millis(20);

struct PlannedStep {
  OwnershipPlan Plan;
  std::uint64_t Index = 0;
};

/// Counts a VM that was heard of within the silence limit as alive.
void addLiveMembers(Daemon &daemon, OwnershipView &view) {
  MonoTime now = monoNow();
  VmViews vms = knownVms(daemon);
  for (const VmView &it : *vms) {
    if (now - it.AsOf <= VmSilenceLimit)
      view.Alive.insert(it.Name);
    if (it.Departing)
      view.Departing.insert(it.Name);
  }
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  view.Departing.insert(daemon.Peers.ListedDeparting.begin(),
                        daemon.Peers.ListedDeparting.end());
}

OwnershipView makeView(Daemon &daemon, bool leaving) {
  OwnershipView view;
  view.Self = daemon.Conf.Vm;
  view.Life = daemon.Life;
  view.PeerEndpoint = ownPeerEndpoint(daemon);
  view.CallerEndpoint = ownCallerEndpoint(daemon);
  view.Leaving = leaving;
  SnapshotPtr snapshot = currentSnapshot(daemon);
  for (const ServiceSpec &service : snapshot->Conf.Services)
    for (const TargetSpec &target : service.Targets)
      if (target.Zone == daemon.Conf.Zone)
        view.ConfiguredTargets.insert(target.Name);
  addLiveMembers(daemon, view);
  view.Alive.insert(daemon.Conf.Vm);
  if (daemon.Departing)
    view.Departing.insert(daemon.Conf.Vm);
  std::lock_guard<std::mutex> guard(daemon.Ledger.Lock);
  for (const auto &[vm, life] : daemon.Ledger.CompleteReplicas)
    view.CompleteReplicas.insert(vm);
  return view;
}

PlannedStep planStep(Daemon &daemon, bool leaving) {
  OwnershipView view = makeView(daemon, leaving);
  SnapshotPtr snapshot = currentSnapshot(daemon);
  auto zones = static_cast<std::int64_t>(allZones(snapshot->Conf).size());
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  PlannedStep step;
  if (zones == 0)
    return step;
  if (state.Doc.Zone.empty())
    state.Doc = makeZoneDocument(daemon.Conf.Zone, Ppm(WholePpm.Value / zones));
  view.Doc = state.Doc;
  view.ProvedDead = state.ProvedDead;
  step.Index = state.DocIndex;
  step.Plan = planOwnership(view, state.Grants, monoNow(), state.Times);
  const OwnershipPlan &plan = step.Plan;
  if (plan.Step == OwnershipStep::TakeOver) {
    auto it = state.Doc.Members.find(plan.Other);
    if (it != state.Doc.Members.end())
      beginTakeover(state.Grants, plan.Other, it->second.Life, monoNow());
  }
  state.ReleasingTargets.insert(plan.ReleasedTargets.begin(),
                                plan.ReleasedTargets.end());
  state.ReleasingPartitions.insert(plan.ReleasedPartitions.begin(),
                                   plan.ReleasedPartitions.end());
  return step;
}

/// Stops using what the plan gives away, and lets requests in flight end.
void releaseResources(Daemon &daemon, const OwnershipPlan &plan) {
  if (!plan.ReleasedTargets.empty())
    applyOwnership(daemon);
  MonoTime limit = monoNow() + HandOffPatience;
  for (const TargetId &it : plan.ReleasedTargets)
    while (grantsInFlight(daemon, it) > 0 && monoNow() < limit)
      std::this_thread::sleep_for(PollInterval);
  if (plan.ReleasedRate > Ppm(0)) {
    Ppm kept;
    {
      std::lock_guard<std::mutex> guard(daemon.Membership.Lock);
      kept = ownedRate(daemon.Membership.Doc, daemon.Conf.Vm, daemon.Life);
    }
    applyRates(daemon, kept - plan.ReleasedRate);
  }
}

bool sendPartitions(Daemon &daemon, const OwnershipPlan &plan) {
  for (int p : plan.ReleasedPartitions) {
    auto index = static_cast<std::size_t>(p);
    if (index >= plan.Next.Partitions.size())
      continue;
    const VmId &receiver = plan.Next.Partitions[index];
    auto it = plan.Next.Members.find(receiver);
    if (it == plan.Next.Members.end())
      continue;
    if (!sendPartition(daemon, p, it->second.PeerEndpoint))
      return false;
  }
  return true;
}

/// Brings the next successor up to date and gets a lease from it before it is
/// named, so that there is no time without a lease.
bool prepareSuccessor(Daemon &daemon, const OwnershipPlan &plan,
                      MonoTime &grantedAt) {
  auto self = plan.Next.Members.find(daemon.Conf.Vm);
  if (self == plan.Next.Members.end() || self->second.Successor.empty())
    return true;
  auto it = plan.Next.Members.find(self->second.Successor);
  if (it == plan.Next.Members.end())
    return false;
  const ZoneMember &successor = it->second;
  peer::RenewRequest request;
  request.mutable_holder()->set_vm(daemon.Conf.Vm.Value);
  request.mutable_holder()->set_incarnation(daemon.Life.Value);
  request.set_successor_incarnation(successor.Life.Value);
  peer::RenewReply reply;
  MonoTime sentAt = monoNow();
  PeerAddress address{it->first, successor.PeerEndpoint};
  if (!callRenew(daemon, address, request, reply) || !reply.granted())
    return false;
  grantedAt = sentAt;
  return syncReplica(daemon, it->first, successor.Life, successor.PeerEndpoint);
}

/// \returns false when the change certainly did not take effect.
bool writePlan(Daemon &daemon, const PlannedStep &step) {
  std::string key = zoneKey(daemon.Conf.Zone);
  std::string content = formatZoneDocument(step.Plan.Next);
  Result<void> written = daemon.Store.CompareAndSwap(key, content, step.Index);
  // The reply may be lost after the write took effect, so the store is read
  // back in every case.
  Result<StoreValue> value = daemon.Store.Get(key);
  if (value) {
    noteStoreContact(daemon, true);
    bool own = value.value().Content == content;
    offerDocument(daemon, key, value.value().Content, value.value().ModifyIndex,
                  DocumentSource::Store);
    return own || written.has_value();
  }
  if (written) {
    offerDocument(daemon, key, content, 0, DocumentSource::OwnWrite);
    return true;
  }
  return written.error().Code == ErrorCode::Unknown;
}

void endStep(Daemon &daemon, const PlannedStep &step, bool written) {
  MembershipState &state = daemon.Membership;
  {
    std::lock_guard<std::mutex> guard(state.Lock);
    const OwnershipPlan &plan = step.Plan;
    for (const TargetId &it : plan.ReleasedTargets)
      state.ReleasingTargets.erase(it);
    for (int p : plan.ReleasedPartitions)
      state.ReleasingPartitions.erase(p);
    if (!written && plan.Step == OwnershipStep::TakeOver) {
      auto it = state.Doc.Members.find(plan.Other);
      if (it != state.Doc.Members.end())
        abandonTakeover(state.Grants, plan.Other, it->second.Life);
    }
  }
  applyOwnership(daemon);
}

const char *stepName(OwnershipStep step) {
  switch (step) {
  case OwnershipStep::None:
    return "none";
  case OwnershipStep::Join:
    return "join";
  case OwnershipStep::NameSuccessor:
    return "name-successor";
  case OwnershipStep::TakeOver:
    return "take-over";
  case OwnershipStep::Claim:
    return "claim";
  case OwnershipStep::HandOff:
    return "hand-off";
  case OwnershipStep::Leave:
    return "leave";
  }
  return "";
}

/// \returns true when a change was written.
bool runStep(Daemon &daemon, bool leaving) {
  PlannedStep step = planStep(daemon, leaving);
  const OwnershipPlan &plan = step.Plan;
  if (plan.Step == OwnershipStep::None)
    return false;
  MonoTime grantedAt{};
  bool ready = plan.Step != OwnershipStep::NameSuccessor ||
               prepareSuccessor(daemon, plan, grantedAt);
  bool written = false;
  if (ready) {
    releaseResources(daemon, plan);
    if (sendPartitions(daemon, plan))
      written = writePlan(daemon, step);
  }
  if (written && grantedAt != MonoTime{}) {
    std::lock_guard<std::mutex> guard(daemon.Membership.Lock);
    renewLease(daemon.Membership.Own, grantedAt, daemon.Membership.Times);
  }
  endStep(daemon, step, written);
  countEvent(written ? "ownership_writes" : "ownership_writes_failed");
  logEvent(written ? (plan.Step == OwnershipStep::TakeOver
                          ? EventCode::TakeoverDone
                          : EventCode::OwnershipChanged)
                   : EventCode::OwnershipConflict,
           {{"step", stepName(plan.Step)},
            {"other", plan.Other.Value},
            {"revision", plan.Next.Rev.Value},
            {"reason", plan.Reason}});
  return written;
}

bool storeKnown(Daemon &daemon) {
  std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
  return daemon.Documents.ListedOnce && daemon.Documents.StoreReachable;
}

} // namespace

void runOwnershipStep(Daemon &daemon) {
  if (storeKnown(daemon))
    runStep(daemon, false);
}

bool leaveZone(Daemon &daemon) {
  if (!storeKnown(daemon))
    return false;
  runStep(daemon, true);
  std::lock_guard<std::mutex> guard(daemon.Membership.Lock);
  return !daemon.Membership.Member;
}

} // namespace savorylb
