// The part of VmDaemon that processes documents of the store, written by
// operators, targets and VMs.
#include "documents.h"
#include "peer_codec.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"
#include "vm_daemon.h"

namespace savorylb {
namespace {

/// If more than this fraction of all targets disappears in one update, their
/// leases are assumed to have lapsed in an outage of the store.
constexpr double LeaseLapseFraction = 0.4;

} // namespace

void VmDaemon::onOperatorChanges(
    const std::vector<platform::StoreItem> &changes) {
  logNewEra();
  for (const platform::StoreItem &it : changes)
    if (!holdDocument(it))
      onOperatorChange(it);
  const StorePosition &known = OperatorSync.mirror().KnownRevision;
  if (OperatorsFollowed.To.Era != known.Era ||
      OperatorsFollowed.To == StorePosition())
    OperatorsFollowed.From = known;
  OperatorsFollowed.To = known;
}

void VmDaemon::onOperatorChange(const platform::StoreItem &item) {
  State.DocumentsRevision = std::max(State.DocumentsRevision, item.ModRevision);
  platform::StoreKey key = platform::parseStoreKey(item.Key);
  switch (key.Kind) {
  case platform::DocumentKind::Config:
    onConfig(item);
    return;
  case platform::DocumentKind::RolloutOrder:
    onRolloutOrder(item, ServiceId(key.Subject));
    return;
  case platform::DocumentKind::Evacuation:
    onEvacuation(item, ZoneId(key.Subject));
    return;
  default:
    return;
  }
}

void VmDaemon::onConfig(const platform::StoreItem &item) {
  if (item.Removed)
    return;
  activateConfig(item.Value, item.Key, item.ModRevision.Number);
}

bool VmDaemon::activateConfig(const std::string &text, const std::string &key,
                              Revision revision) {
  auto config = platform::readConfig(text);
  if (!config) {
    logEvent(EventCode::DocumentRejected,
             {{"key", key},
              {"revision", revision.Value},
              {"findings", config.error().Message}});
    return false;
  }
  if (!applyConfig(State, config.value()))
    return false;
  ConfigText = text;
  const CallerLimits &limits = State.Config->Limits;
  Callers.setLimits({limits.MaxHeaderBytes, limits.MaxBodyBytes,
                     limits.HeaderTimeout, limits.IdleTimeout});
  logEvent(EventCode::ConfigActivated,
           {{"version", State.Config->Version}, {"revision", revision.Value}});
  return true;
}

void VmDaemon::onRolloutOrder(const platform::StoreItem &item,
                              const ServiceId &service) {
  MonoTime now = monoNow();
  noteOrderChange(State, service, item.ModRevision, OperatorsFollowed);
  if (item.Removed) {
    eraseRolloutOrder(State, service);
    return;
  }
  auto order = platform::readRolloutOrder(service, item.Value);
  if (!order) {
    logEvent(EventCode::DocumentRejected,
             {{"key", item.Key}, {"findings", order.error().Message}});
    return;
  }
  order.value().OrderRevision = item.ModRevision;
  if (!applyRolloutOrder(State, order.value(), now))
    return;
  logEvent(EventCode::RolloutOrdered,
           {{"service", service.Value},
            {"version", order.value().Version.Value},
            {"window_us", order.value().Window.count()}});
}

void VmDaemon::onEvacuation(const platform::StoreItem &item,
                            const ZoneId &zone) {
  if (item.Removed) {
    endEvacuation(State, zone, monoNow());
    logEvent(EventCode::EvacuationEnded, {{"zone", zone.Value}});
  } else {
    startEvacuation(State, zone);
    logEvent(
        EventCode::EvacuationStarted,
        {{"zone", zone.Value}, {"revision", item.ModRevision.Number.Value}});
  }
}

void VmDaemon::removeTarget(const TargetId &target, const char *reason) {
  logEvent(EventCode::TargetDown,
           {{"target", target.Value}, {"reason", std::string(reason)}});
  auto known = State.Targets.find(target);
  if (known != State.Targets.end())
    recordDeparture(EndedStarts, known->second.Entry, monoNow());
  eraseTarget(State, target, monoNow());
  Pool.drop(target);
}

void VmDaemon::onTargetChanges(
    const std::vector<platform::StoreItem> &changes) {
  MonoTime now = monoNow();
  TargetsListed = true;
  std::size_t removed = 0;
  for (const platform::StoreItem &it : changes)
    removed += it.Removed;
  bool leasesLapsed =
      static_cast<double>(removed) >
      LeaseLapseFraction * static_cast<double>(State.Targets.size());
  for (const platform::StoreItem &it : changes) {
    TargetId id(platform::parseStoreKey(it.Key).Subject);
    if (it.Removed) {
      if (!State.Targets.count(id))
        continue;
      // The grace time starts now for a mass removal and for entries that a
      // restored store lacks, and otherwise when the store came back from its
      // last outage or from an older copy.
      MonoTime graceStart = leasesLapsed || it.FromCopy
                                ? now
                                : std::max(storeAwayUntil(), EraEnteredAt);
      if (now - graceStart < LeaseLapseGrace)
        PendingRemovals.emplace(id, graceStart + LeaseLapseGrace);
      else
        removeTarget(id, "entry-removed");
      continue;
    }
    auto entry = platform::readTarget(id, it.Value);
    if (entry && isOutdatedTarget(it, entry.value(), now))
      continue;
    PendingRemovals.erase(id);
    if (!entry) {
      logEvent(EventCode::TargetRejected,
               {{"target", id.Value}, {"reason", entry.error().Message}});
      if (State.Targets.count(id))
        removeTarget(id, "entry-unreadable");
      continue;
    }
    auto known = State.Targets.find(id);
    bool added = known == State.Targets.end();
    if (it.FromCopy && !added &&
        isSameReport(known->second.Entry, entry.value()))
      continue; // Applying it again would extend the warm-up.
    bool left =
        !added && !known->second.Entry.Draining && entry.value().Draining;
    bool restarted =
        !added && !isSameStart(known->second.Entry, startOf(entry.value()));
    if (restarted) {
      if (known->second.Entry.StartId != entry.value().StartId)
        recordRestart(EndedStarts, known->second.Entry, now);
      Pool.drop(id);
    }
    updateTarget(State, entry.value(), now);
    if (added || restarted)
      logEvent(EventCode::TargetUp,
               {{"target", id.Value},
                {"reason", std::string(added ? "entry-added" : "restarted")},
                {"service", entry.value().Service.Value},
                {"version", entry.value().Version.Value},
                {"cold_ms", entry.value().WarmupLeft.count()}});
    if (left)
      logEvent(EventCode::TargetDown,
               {{"target", id.Value}, {"reason", std::string("draining")}});
  }
}

void VmDaemon::onSystemChanges(
    const std::vector<platform::StoreItem> &changes) {
  for (const platform::StoreItem &it : changes) {
    if (holdDocument(it))
      continue;
    platform::StoreKey key = platform::parseStoreKey(it.Key);
    if (key.Kind == platform::DocumentKind::Vm)
      onVmEntry(it, VmId(key.Subject));
    else if (key.Kind == platform::DocumentKind::RolloutStatus)
      onRolloutStatus(it, ServiceId(key.Subject));
    else if (key.Kind == platform::DocumentKind::Duty && Usage)
      Usage->onDutyChange(it);
  }
}

void VmDaemon::onVmEntry(const platform::StoreItem &item, const VmId &vm) {
  if (vm == State.Fleet.Self.Vm)
    return;
  auto entry = item.Removed
                   ? Result<VmEntry>(failure(ErrorCode::NotFound, "removed"))
                   : readVmEntry(item.Value);
  if (entry && entry.value().Vm != vm)
    entry = failure(ErrorCode::Malformed, "the VM entry has another name");
  if (entry) {
    if (isOutdatedVm(item, entry.value(), monoNow()))
      return;
    DepartedVms.erase(vm);
    State.Fleet.Registered[vm] = entry.value();
    logEvent(EventCode::PeerUp, {{"peer", vm.Value}});
    return;
  }
  auto known = State.Fleet.Registered.find(vm);
  if (known != State.Fleet.Registered.end()) {
    DepartedVms[vm] = known->second.StartId;
    State.Fleet.Registered.erase(known);
  }
  logEvent(EventCode::PeerDown,
           {{"peer", vm.Value}, {"reason", entry.error().Message}});
}

void VmDaemon::onRolloutStatus(const platform::StoreItem &item,
                               const ServiceId &service) {
  if (item.Removed) {
    if (item.FromCopy)
      loseRolloutStatus(State, service, item.ModRevision);
    return;
  }
  auto status = platform::readRolloutStatus(item.Value);
  if (!status) {
    logEvent(EventCode::DocumentRejected,
             {{"key", item.Key}, {"findings", status.error().Message}});
    return;
  }
  status.value().StatusRevision = item.ModRevision;
  applyRolloutStatus(State, service, status.value());
  logEvent(EventCode::RolloutStepped,
           {{"service", service.Value},
            {"status", platform::writeRolloutStatus(status.value().State,
                                                    status.value().Version)}});
}

void VmDaemon::applyPendingRemovals(MonoTime now) {
  // Live targets cannot restore their entries while the store fails.
  if (now - storeAwayUntil() < LeaseLapseGrace)
    return;
  for (auto it = PendingRemovals.begin(); it != PendingRemovals.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    removeTarget(it->first, "entry-not-back");
    it = PendingRemovals.erase(it);
  }
}

} // namespace savorylb
