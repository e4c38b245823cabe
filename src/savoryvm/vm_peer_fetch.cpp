// The part of VmDaemon that fetches documents from other VMs.
#include "content_coding.h"
#include "documents.h"
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
/// Limit for the response to one fetch.
constexpr Duration PeerFetchTimeout = Seconds(1);

HttpMessage getRequest(const std::string &path) {
  HttpMessage request;
  request.Method = "GET";
  request.Path = path;
  acceptDeflate(request);
  return request;
}

} // namespace

VmEntry VmDaemon::peerWithNewerDocuments(bool storeSilent, MonoTime now) const {
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
  return chosen;
}

VmEntry VmDaemon::peerWithNewerConfig(MonoTime now) const {
  std::int64_t version = State.Config ? State.Config->Version : 0;
  for (const auto &[vm, peer] : State.Fleet.Peers)
    if (now - peer.ReceivedAt <= PeerTimeout &&
        peer.Report.ConfigVersion > version)
      return peer.Report.Vm;
  return VmEntry();
}

void VmDaemon::fetchFromPeer(MonoTime now) {
  bool storeSilent =
      StoreFailedAt > StoreAnsweredAt && now - StoreAnsweredAt > PeerFetchDelay;
  VmEntry chosen = peerWithNewerDocuments(storeSilent, now);
  // A store that came back from an older copy shows an older configuration
  // than the one that other VMs use.
  bool config = chosen.Vm.empty();
  if (config)
    chosen = peerWithNewerConfig(now);
  // A pending fetch delays the next one by at most 2 s.
  if (chosen.Vm.empty() ||
      (PeerFetchPending && now - PeerFetchStartedAt < Seconds(2)) ||
      now - PeerFetchStartedAt < PeerFetchInterval)
    return;
  PeerFetchPending = true;
  PeerFetchStartedAt = now;
  PeerLeavesZone = chosen.Zone != State.Fleet.Self.Zone;
  PeerChannel =
      std::make_unique<HttpChannel>(Io.get_executor(), chosen.PeerAddress);
  if (config)
    fetchConfig(chosen.Vm.Value);
  else
    fetchDocuments(chosen.Vm.Value, storeSilent);
}

void VmDaemon::recordCatchUp(const Result<HttpMessage> &response) const {
  if (response && PeerLeavesZone)
    recordZoneTraffic(ZoneTraffic::CatchUp, response.value().Body.size());
}

void VmDaemon::fetchConfig(const std::string &peer) {
  PeerChannel->call(
      getRequest("/config"), PeerFetchTimeout,
      [this, peer](const Result<HttpMessage> &response) {
        PeerFetchPending = false;
        recordCatchUp(response);
        auto text = response && response.value().Status == 200
                        ? readBody(response.value())
                        : Result<std::string>(
                              failure(ErrorCode::Unavailable, "no response"));
        if (!text) {
          incrementCounter(
              "peer_documents_failed"); // A later round fetches it again.
          return;
        }
        if (activateConfig(text.value(), "config", Revision()))
          logEvent(EventCode::PeerDocumentsAdopted,
                   {{"prefix", "config"}, {"peer", peer}, {"revision", 0}});
      });
}

void VmDaemon::fetchDocuments(const std::string &peer, bool fetchTargets) {
  PeerChannel->call(
      getRequest(std::string("/news/0/") + platform::OperatorPrefix),
      PeerFetchTimeout,
      [this, peer, fetchTargets](const Result<HttpMessage> &response) {
        PeerFetchPending = false;
        adoptFromPeer(peer, platform::OperatorPrefix, response);
        if (!fetchTargets || !response)
          return;
        PeerChannel->call(
            getRequest(std::string("/news/0/") + platform::TargetPrefix),
            PeerFetchTimeout, [this, peer](const Result<HttpMessage> &answer) {
              adoptFromPeer(peer, platform::TargetPrefix, answer);
            });
      });
}

void VmDaemon::adoptFromPeer(const std::string &peer, const std::string &prefix,
                             const Result<HttpMessage> &response) {
  recordCatchUp(response);
  if (!response || response.value().Status != 200) {
    incrementCounter(
        "peer_documents_failed"); // A later round fetches them again.
    return;
  }
  auto update = readMirrorUpdate(response.value());
  if (!update) {
    logEvent(EventCode::DocumentRejected,
             {{"key", prefix}, {"findings", update.error().Message}});
    return;
  }
  StoreSync &sync =
      prefix == platform::OperatorPrefix ? OperatorSync : TargetSync;
  if (update.value().Page.StoreRevision <= sync.mirror().KnownRevision)
    return;
  onStoreEra(update.value().Page.StoreRevision.Era, EraSource::OtherVm);
  sync.adopt(update.value().Page);
  logEvent(EventCode::PeerDocumentsAdopted,
           {{"prefix", prefix},
            {"peer", peer},
            {"revision", update.value().Page.StoreRevision.Number.Value}});
}

} // namespace savorylb
