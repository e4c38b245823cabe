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

/// Documents are fetched from another VM if it reports a newer revision, or if
/// the last call to the store failed and the store has not answered for
/// PeerFetchDelay.
constexpr Duration PeerFetchDelay = Millis(1500);
/// Shortest time between the starts of two fetches.
constexpr Duration PeerFetchInterval = Millis(700);

/// Live targets restore their entries within this time after the store is
/// back.
constexpr Duration LeaseLapseGrace = Millis(2300);
/// If more than this fraction of all targets disappears in one update, their
/// leases are assumed to have lapsed in an outage of the store.
constexpr double LeaseLapseFraction = 0.4;

} // namespace

void VmDaemon::onOperatorChanges(
    const std::vector<platform::StoreItem> &changes) {
  for (const platform::StoreItem &it : changes)
    onOperatorChange(it);
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
  auto config = platform::readConfig(item.Value);
  if (!config) {
    logEvent(EventCode::DocumentRejected,
             {{"key", item.Key},
              {"revision", item.ModRevision.Value},
              {"findings", config.error().Message}});
    return;
  }
  if (!applyConfig(State, config.value()))
    return;
  const CallerLimits &limits = State.Config->Limits;
  Callers.setLimits({limits.MaxHeaderBytes, limits.MaxBodyBytes,
                     limits.HeaderTimeout, limits.IdleTimeout});
  logEvent(EventCode::ConfigActivated, {{"version", State.Config->Version},
                                        {"revision", item.ModRevision.Value}});
}

void VmDaemon::onRolloutOrder(const platform::StoreItem &item,
                              const ServiceId &service) {
  MonoTime now = monoNow();
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
  applyRolloutOrder(State, order.value(), now);
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
    logEvent(EventCode::EvacuationStarted,
             {{"zone", zone.Value}, {"revision", item.ModRevision.Value}});
  }
}

void VmDaemon::removeTarget(const TargetId &target, const char *reason) {
  logEvent(EventCode::TargetDown,
           {{"target", target.Value}, {"reason", std::string(reason)}});
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
      // The grace time starts now for a mass removal, and otherwise at the last
      // failure of the store.
      MonoTime graceStart = leasesLapsed ? now : StoreFailedAt;
      if (now - graceStart < LeaseLapseGrace)
        PendingRemovals.emplace(id, graceStart + LeaseLapseGrace);
      else
        removeTarget(id, "entry-removed");
      continue;
    }
    PendingRemovals.erase(id);
    auto entry = platform::readTarget(id, it.Value);
    if (!entry) {
      logEvent(EventCode::TargetRejected,
               {{"target", id.Value}, {"reason", entry.error().Message}});
      if (State.Targets.count(id))
        removeTarget(id, "entry-unreadable");
      continue;
    }
    auto known = State.Targets.find(id);
    bool added = known == State.Targets.end();
    bool left =
        !added && !known->second.Entry.Draining && entry.value().Draining;
    bool restarted =
        !added && !isSameStart(known->second.Entry, startOf(entry.value()));
    if (restarted)
      Pool.drop(id);
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
    platform::StoreKey key = platform::parseStoreKey(it.Key);
    if (key.Kind == platform::DocumentKind::Vm) {
      VmId vm(key.Subject);
      if (vm == State.Fleet.Self.Vm)
        continue;
      auto entry =
          it.Removed ? Result<VmEntry>(failure(ErrorCode::NotFound, "removed"))
                     : readVmEntry(it.Value);
      if (entry) {
        State.Fleet.Registered[vm] = entry.value();
        logEvent(EventCode::PeerUp, {{"peer", vm.Value}});
      } else {
        State.Fleet.Registered.erase(vm);
        logEvent(EventCode::PeerDown,
                 {{"peer", vm.Value}, {"reason", entry.error().Message}});
      }
    } else if (key.Kind == platform::DocumentKind::RolloutStatus &&
               !it.Removed) {
      auto status = platform::readRolloutStatus(it.Value);
      if (!status) {
        logEvent(EventCode::DocumentRejected,
                 {{"key", it.Key}, {"findings", status.error().Message}});
        continue;
      }
      status.value().StatusRevision = it.ModRevision;
      applyRolloutStatus(State, ServiceId(key.Subject), status.value());
      logEvent(EventCode::RolloutStepped,
               {{"service", key.Subject}, {"status", it.Value}});
    }
  }
}

void VmDaemon::applyPendingRemovals(MonoTime now) {
  // Live targets cannot restore their entries while the store fails.
  if (now - StoreFailedAt < LeaseLapseGrace)
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

void VmDaemon::fetchFromPeer(MonoTime now) {
  bool storeSilent =
      StoreFailedAt > StoreAnsweredAt && now - StoreAnsweredAt > PeerFetchDelay;
  VmEntry chosen;
  for (const auto &[vm, peer] : State.Fleet.Peers) {
    if (now - peer.ReceivedAt > PeerTimeout)
      continue;
    bool newer = peer.Report.DocumentsRevision > State.DocumentsRevision;
    if (newer || (storeSilent && chosen.Vm.empty()))
      chosen = peer.Report.Vm;
    if (newer)
      break;
  }
  // A pending fetch delays the next one by at most 2 s.
  if (chosen.Vm.empty() ||
      (PeerFetchPending && now - PeerFetchStartedAt < Seconds(2)) ||
      now - PeerFetchStartedAt < PeerFetchInterval)
    return;
  PeerFetchPending = true;
  PeerFetchStartedAt = now;
  PeerChannel =
      std::make_unique<HttpChannel>(Io.get_executor(), chosen.PeerAddress);
  HttpMessage request;
  request.Method = "GET";
  request.Path = std::string("/news/0/") + platform::OperatorPrefix;
  std::string peer = chosen.Vm.Value;
  bool fetchTargets = storeSilent;
  PeerChannel->call(
      request, Seconds(1), // Limit for the response.
      [this, peer, fetchTargets](const Result<HttpMessage> &response) {
        PeerFetchPending = false;
        adoptFromPeer(peer, platform::OperatorPrefix, response);
        if (!fetchTargets || !response)
          return;
        HttpMessage more;
        more.Method = "GET";
        more.Path = std::string("/news/0/") + platform::TargetPrefix;
        // 1 s is the limit for the response.
        PeerChannel->call(more, Seconds(1),
                          [this, peer](const Result<HttpMessage> &answer) {
                            adoptFromPeer(peer, platform::TargetPrefix, answer);
                          });
      });
}

void VmDaemon::adoptFromPeer(const std::string &peer, const std::string &prefix,
                             const Result<HttpMessage> &response) {
  if (!response || response.value().Status != 200) {
    incrementCounter(
        "peer_documents_failed"); // A later round fetches them again.
    return;
  }
  auto update = readMirrorUpdate(response.value().Body);
  if (!update) {
    logEvent(EventCode::DocumentRejected,
             {{"key", prefix}, {"findings", update.error().Message}});
    return;
  }
  StoreSync &sync =
      prefix == platform::OperatorPrefix ? OperatorSync : TargetSync;
  if (update.value().Page.StoreRevision <= sync.mirror().KnownRevision)
    return;
  sync.adopt(update.value().Page);
  logEvent(EventCode::PeerDocumentsAdopted,
           {{"prefix", prefix},
            {"peer", peer},
            {"revision", update.value().Page.StoreRevision.Value}});
}

} // namespace savorylb
