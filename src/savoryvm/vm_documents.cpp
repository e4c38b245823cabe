// How the daemon takes in documents of the store: those of operators, targets
// and other VMs.
#include "documents.h"
#include "peer_codec.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"
#include "vm_daemon.h"

namespace savorylb {
namespace {

/// Without an answer for this long other VMs are asked for documents.
constexpr Duration AskPeersAfter = Millis(1500);
constexpr Duration AskPeersEvery = Millis(700);

/// Entries of targets that live are back this long after the store.
constexpr Duration LapseGrace = Millis(2300);
/// Part of a service's targets that do not leave at the same moment unless
/// their leases lapsed with the store.
constexpr double LapsePart = 0.4;

} // namespace

void VmDaemon::onOperatorChanges(
    const std::vector<platform::StoreItem> &changes) {
  for (const platform::StoreItem &it : changes)
    onOperatorChange(it);
}

void VmDaemon::onOperatorChange(const platform::StoreItem &item) {
  State.DocumentsRevision = std::max(State.DocumentsRevision, item.Changed);
  platform::DocumentName name = platform::readKey(item.Key);
  switch (name.Kind) {
  case platform::DocumentKind::Config:
    onConfig(item);
    return;
  case platform::DocumentKind::RolloutOrder:
    onRolloutOrder(item, ServiceId(name.Subject));
    return;
  case platform::DocumentKind::Evacuation:
    onEvacuation(item, ZoneId(name.Subject));
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
              {"revision", item.Changed.Value},
              {"findings", config.error().Message}});
    return;
  }
  if (!applyConfig(State, config.value()))
    return;
  const CallerLimits &limits = State.Config->Limits;
  Callers.setLimits({limits.MaxHeaderBytes, limits.MaxBodyBytes,
                     limits.HeaderTimeout, limits.IdleTimeout});
  logEvent(EventCode::ConfigInForce, {{"version", State.Config->Version},
                                      {"revision", item.Changed.Value}});
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
  order.value().Ordered = item.Changed;
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
             {{"zone", zone.Value}, {"revision", item.Changed.Value}});
  }
}

void VmDaemon::removeTarget(const TargetId &target, const char *reason) {
  logEvent(EventCode::TargetDown,
           {{"target", target.Value}, {"reason", std::string(reason)}});
  eraseTarget(State, target);
  Pool.drop(target);
}

void VmDaemon::onTargetChanges(
    const std::vector<platform::StoreItem> &changes) {
  MonoTime now = monoNow();
  TargetsListed = true;
  std::size_t removed = 0;
  for (const platform::StoreItem &it : changes)
    removed += it.Removed;
  bool lapsed = static_cast<double>(removed) >
                LapsePart * static_cast<double>(State.Targets.size());
  for (const platform::StoreItem &it : changes) {
    TargetId id(platform::readKey(it.Key).Subject);
    if (it.Removed) {
      if (!State.Targets.count(id))
        continue;
      MonoTime back = lapsed ? now : StoreFailedAt;
      if (now - back < LapseGrace)
        Removals.emplace(id, back + LapseGrace);
      else
        removeTarget(id, "entry-removed");
      continue;
    }
    Removals.erase(id);
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
        !added && known->second.Entry.StartId != entry.value().StartId;
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
    platform::DocumentName name = platform::readKey(it.Key);
    if (name.Kind == platform::DocumentKind::Vm) {
      VmId vm(name.Subject);
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
    } else if (name.Kind == platform::DocumentKind::RolloutStatus &&
               !it.Removed) {
      auto status = platform::readRolloutStatus(it.Value);
      if (!status) {
        logEvent(EventCode::DocumentRejected,
                 {{"key", it.Key}, {"findings", status.error().Message}});
        continue;
      }
      status.value().Written = it.Changed;
      applyRolloutStatus(State, ServiceId(name.Subject), status.value());
      logEvent(EventCode::RolloutStepped,
               {{"service", name.Subject}, {"status", it.Value}});
    }
  }
}

void VmDaemon::applyRemovals(MonoTime now) {
  // While the store fails, entries of targets that live cannot come back.
  if (now - StoreFailedAt < LapseGrace)
    return;
  for (auto it = Removals.begin(); it != Removals.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    removeTarget(it->first, "entry-not-back");
    it = Removals.erase(it);
  }
}

void VmDaemon::askPeer(MonoTime now) {
  bool away =
      StoreFailedAt > StoreAnsweredAt && now - StoreAnsweredAt > AskPeersAfter;
  VmEntry chosen;
  for (const auto &[vm, peer] : State.Fleet.Peers) {
    if (now - peer.ReceivedAt > PeerTimeout)
      continue;
    bool newer = peer.Report.DocumentsRevision > State.DocumentsRevision;
    if (newer || (away && chosen.Vm.empty()))
      chosen = peer.Report.Vm;
    if (newer)
      break;
  }
  if (chosen.Vm.empty() || (PeerAsked && now - PeerAskedAt < Seconds(2)) ||
      now - PeerAskedAt < AskPeersEvery)
    return;
  PeerAsked = true;
  PeerAskedAt = now;
  PeerChannel =
      std::make_unique<StoreChannel>(Io.get_executor(), chosen.PeerAddress);
  HttpMessage request;
  request.Method = "GET";
  request.Path = std::string("/news/0/") + platform::OperatorPrefix;
  std::string peer = chosen.Vm.Value;
  bool targetsToo = away;
  PeerChannel->call(
      request, Seconds(1),
      [this, peer, targetsToo](const Result<HttpMessage> &response) {
        PeerAsked = false;
        adoptFromPeer(peer, platform::OperatorPrefix, response);
        if (!targetsToo || !response)
          return;
        HttpMessage more;
        more.Method = "GET";
        more.Path = std::string("/news/0/") + platform::TargetPrefix;
        PeerChannel->call(more, Seconds(1),
                          [this, peer](const Result<HttpMessage> &answer) {
                            adoptFromPeer(peer, platform::TargetPrefix, answer);
                          });
      });
}

void VmDaemon::adoptFromPeer(const std::string &peer, const std::string &prefix,
                             const Result<HttpMessage> &response) {
  if (!response || response.value().Status != 200) {
    countEvent("peer_documents_failed"); // Another VM is asked next time.
    return;
  }
  auto page = readNews(response.value().Body);
  if (!page) {
    logEvent(EventCode::DocumentRejected,
             {{"key", prefix}, {"findings", page.error().Message}});
    return;
  }
  StoreSync &sync = prefix == platform::OperatorPrefix ? Operators : Targets;
  if (page.value().Page.Read <= sync.mirror().Known)
    return;
  sync.adopt(page.value().Page);
  logEvent(EventCode::PeerDocumentsAdopted,
           {{"prefix", prefix},
            {"peer", peer},
            {"revision", page.value().Page.Read.Value}});
}

} // namespace savorylb
