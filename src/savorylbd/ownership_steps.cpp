// Executes the changes of the owner map that planOwnership() plans.

#include "daemon.h"
#include "heartbeat.h"
#include "peer_calls.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"
#include "store_watch.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

namespace savorylb {
namespace {

/// Longest wait of a handoff for requests in flight on the released targets.
constexpr Duration HandOffTimeout = Seconds(2);
constexpr Duration PollInterval = Millis(20);

/// Upper limit of the backoff after conflicting writes of the owner map: with
/// 86 members that all want to write, a zone makes about 20 writes per second.
constexpr Duration MaxBackoff = Seconds(4);
constexpr Duration InitialBackoff = Millis(250);

/// Random exponential backoff after conflicting writes. All members of a zone
/// write one document; without a backoff the number of writes at the start of a
/// zone grows with the square of its size.
struct WriteBackoff {
  Duration WaitLimit = InitialBackoff;
  MonoTime NotBefore{};
};

void updateBackoff(WriteBackoff &backoff, bool conflict) {
  static thread_local std::mt19937_64 random(std::random_device{}());
  if (!conflict) {
    backoff = WriteBackoff{};
    return;
  }
  std::uniform_int_distribution<std::int64_t> spread(0,
                                                     backoff.WaitLimit.count());
  backoff.NotBefore = monoNow() + Duration(spread(random));
  backoff.WaitLimit = std::min<Duration>(backoff.WaitLimit * 2, MaxBackoff);
}

struct PlannedStep {
  OwnershipPlan Plan;
  Revision Base;
  std::uint64_t Index = 0;
  /// The outcome of an earlier write is unknown, so nothing can be undone when
  /// this one fails.
  bool EarlierPending = false;
};

/// Adds all known VMs, of any zone, that are alive, i.e. whose state is at most
/// VmSilenceLimit old, and those that depart.
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

OwnershipView makeOwnershipView(Daemon &daemon, bool leaving) {
  OwnershipView view;
  view.Self = daemon.Conf.Vm;
  view.SelfIncarnation = daemon.SelfIncarnation;
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
  return view;
}

/// Adds the complete replicas, but only of incarnations that the owner map
/// names.
void addReplicas(Daemon &daemon, OwnershipView &view) {
  std::lock_guard<std::mutex> guard(daemon.Ledger.Lock);
  for (const auto &[vm, incarnation] : daemon.Ledger.CompleteReplicas) {
    auto it = view.Doc.Members.find(vm);
    if (it != view.Doc.Members.end() && it->second.VmIncarnation == incarnation)
      view.CompleteReplicas.insert(vm);
  }
  view.QuarantineEnded = daemon.Ledger.QuarantineEnded;
}

PlannedStep planStep(Daemon &daemon, bool leaving) {
  OwnershipView view = makeOwnershipView(daemon, leaving);
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
  addReplicas(daemon, view);
  view.ProvedDeadAt = state.ProvedDeadAt;
  for (const auto &[member, since] : state.ProvedDeadAt)
    view.ProvedDead.insert(member);
  step.Index = state.DocStoreIndex;
  step.Base = state.Doc.Rev;
  step.Plan = planOwnership(view, state.Grants, monoNow(), state.Times);
  return step;
}

/// Waits for requests in flight on the released targets.
void waitForRequestsInFlight(Daemon &daemon, const OwnershipPlan &plan) {
  MonoTime limit = monoNow() + HandOffTimeout;
  for (const TargetId &it : plan.ReleasedTargets)
    while (grantsInFlight(daemon, it) > 0 && monoNow() < limit)
      std::this_thread::sleep_for(PollInterval);
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

/// Obtains a lease from the next successor and completes its replica before it
/// is named, so that this VM always has a lease and a replica.
bool prepareSuccessor(Daemon &daemon, const OwnershipPlan &plan,
                      MonoTime &grantedAt) {
  const ZoneMember &successor = plan.Next.Members.at(plan.AffectedVm);
  PeerAddress address{plan.AffectedVm, successor.PeerEndpoint};
  grantedAt = monoNow();
  return requestLease(daemon, address, successor.VmIncarnation) &&
         syncReplica(daemon, plan.AffectedVm, successor.VmIncarnation,
                     successor.PeerEndpoint);
}

/// Marks the change as begun.
/// \returns false when the owner map has changed since the plan was made.
bool beginStep(Daemon &daemon, PlannedStep &step, MonoTime grantedAt) {
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  if (state.Doc.Rev != step.Base)
    return false;
  const OwnershipPlan &plan = step.Plan;
  step.EarlierPending = state.Pending.Active;
  beginChange(state.Pending, state.Grants, state.OwnLease, plan, state.Doc,
              monoNow());
  if (plan.Step == OwnershipStep::NameSuccessor)
    renewCandidate(state.OwnLease, plan.AffectedVm,
                   plan.Next.Members.at(plan.AffectedVm).VmIncarnation,
                   grantedAt, state.Times);
  return true;
}

/// Reverts beginStep(); only for a write that is known not to have taken
/// effect.
void undoStep(Daemon &daemon, const PlannedStep &step) {
  MembershipState &state = daemon.Membership;
  {
    std::lock_guard<std::mutex> guard(state.Lock);
    if (step.EarlierPending || state.Doc.Rev != step.Base)
      return;
    const OwnershipPlan &plan = step.Plan;
    state.Pending = PendingChange{};
    state.OwnLease.Candidates.clear();
    auto it = state.Doc.Members.find(plan.AffectedVm);
    if (plan.Step == OwnershipStep::TakeOver && it != state.Doc.Members.end())
      abandonTakeover(state.Grants, plan.AffectedVm, it->second.VmIncarnation);
  }
  applyOwnership(daemon);
}

enum class WriteOutcome { Written, NotWritten, Undecided };

WriteOutcome writePlan(Daemon &daemon, const PlannedStep &step) {
  std::string key = zoneKey(daemon.Conf.Zone);
  std::string content = formatZoneDocument(step.Plan.Next);
  Result<void> written = daemon.Store.CompareAndSwap(key, content, step.Index);
  // The response may be lost although the write took effect, so the value is
  // always read back.
  MonoTime askedAt = monoNow();
  Result<StoreValue> value = daemon.Store.Get(key);
  bool own = false;
  if (value) {
    updateStoreContact(daemon, true, askedAt);
    own = value.value().Content == content;
    receiveDocument(daemon, key, value.value().Content,
                    value.value().ModifyIndex, DocumentSource::Store);
  } else if (written) {
    receiveDocument(daemon, key, content, 0, DocumentSource::OwnWrite);
  }
  if (written || own)
    return WriteOutcome::Written;
  bool notApplied = written.error().Code != ErrorCode::Unknown &&
                    written.error().Code != ErrorCode::Timeout;
  return notApplied ? WriteOutcome::NotWritten : WriteOutcome::Undecided;
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

void logStep(const OwnershipPlan &plan, bool written) {
  EventCode code = EventCode::OwnershipConflict;
  if (written)
    code = plan.Step == OwnershipStep::TakeOver ? EventCode::TakeoverDone
                                                : EventCode::OwnershipChanged;
  else if (plan.Step == OwnershipStep::TakeOver)
    code = EventCode::TakeoverRefused;
  incrementCounter(written ? "ownership_writes" : "ownership_writes_failed");
  logEvent(code, {{"step", stepName(plan.Step)},
                  {"other", plan.AffectedVm.Value},
                  {"revision", plan.Next.Rev.Value},
                  {"reason", plan.Reason}});
}

void readOwnerMap(Daemon &daemon) {
  std::string key = zoneKey(daemon.Conf.Zone);
  MonoTime askedAt = monoNow();
  Result<StoreValue> value = daemon.Store.Get(key);
  if (!value)
    return;
  updateStoreContact(daemon, true, askedAt);
  receiveDocument(daemon, key, value.value().Content, value.value().ModifyIndex,
                  DocumentSource::Store);
}

void runStep(Daemon &daemon, bool leaving, WriteBackoff &backoff) {
  PlannedStep step = planStep(daemon, leaving);
  const OwnershipPlan &plan = step.Plan;
  if (plan.Step == OwnershipStep::None)
    return;
  bool urgent = plan.Step == OwnershipStep::TakeOver || leaving;
  // A takeover and a drain ignore the backoff.
  if (!urgent && monoNow() < backoff.NotBefore)
    return;
  // A write that is based on an old copy always fails, so read the map first.
  bool mayBeStale =
      backoff.WaitLimit > InitialBackoff || !watchesAllDocuments(daemon);
  if (!urgent && mayBeStale) {
    readOwnerMap(daemon);
    step = planStep(daemon, leaving);
    if (plan.Step == OwnershipStep::None)
      return;
  }
  MonoTime grantedAt{};
  if (plan.Step == OwnershipStep::NameSuccessor &&
      !prepareSuccessor(daemon, plan, grantedAt))
    return logStep(plan, false);
  if (!beginStep(daemon, step, grantedAt))
    return;
  applyOwnership(daemon);
  waitForRequestsInFlight(daemon, plan);
  if (!sendPartitions(daemon, plan)) {
    undoStep(daemon, step);
    return logStep(plan, false);
  }
  WriteOutcome outcome = writePlan(daemon, step);
  updateBackoff(backoff, outcome == WriteOutcome::NotWritten);
  if (outcome == WriteOutcome::NotWritten)
    undoStep(daemon, step);
  logStep(plan, outcome == WriteOutcome::Written);
}

bool isStoreReady(Daemon &daemon) {
  std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
  return daemon.Documents.StoreAnsweredOnce && daemon.Documents.StoreReachable;
}

} // namespace

void runOwnershipStep(Daemon &daemon) {
  static thread_local WriteBackoff backoff;
  if (isStoreReady(daemon))
    runStep(daemon, false, backoff);
}

bool leaveZone(Daemon &daemon) {
  if (!isStoreReady(daemon))
    return false;
  WriteBackoff none;
  runStep(daemon, true, none);
  std::lock_guard<std::mutex> guard(daemon.Membership.Lock);
  return !daemon.Membership.IsMember;
}

} // namespace savorylb
