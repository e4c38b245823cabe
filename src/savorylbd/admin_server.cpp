#include "admin_server.h"

#include "daemon.h"
#include "drain.h"
#include "http_reply.h"
#include "savorylb/clock.h"
#include "savorylb/metrics.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/URI.h>

namespace savorylb {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int AdminThreads = 4;
const std::string FaultsPath = "/v1/faults";

Json::Int64 ageMs(MonoTime since) {
  if (since == MonoTime{})
    return -1;
  return std::chrono::duration_cast<Millis>(monoNow() - since).count();
}

Json::Value revisionsJson(Daemon &daemon) {
  Json::Value revisions(Json::objectValue);
  for (const auto &[key, revision] : heldRevisions(daemon))
    revisions[key] = Json::Int64(revision.Value);
  return revisions;
}

Json::Value membershipJson(Daemon &daemon) {
  bool leaseHeld = mayUseOwnedResources(daemon);
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  Json::Value out(Json::objectValue);
  out["member"] = state.IsMember;
  out["lease_held"] = leaseHeld;
  out["zone_revision"] = Json::Int64(state.Doc.Rev.Value);
  auto self = state.Doc.Members.find(daemon.Conf.Vm);
  if (self != state.Doc.Members.end()) {
    out["successor"] = self->second.Successor.Value;
    out["rate_ppm"] = Json::Int64(self->second.RateShare.Value);
  }
  Json::Value &targets = out["targets"] = Json::Value(Json::arrayValue);
  for (const TargetId &it :
       ownedTargets(state.Doc, daemon.Conf.Vm, daemon.SelfIncarnation))
    targets.append(it.Value);
  Json::Value &partitions = out["partitions"] = Json::Value(Json::arrayValue);
  for (int p :
       ownedPartitions(state.Doc, daemon.Conf.Vm, daemon.SelfIncarnation))
    partitions.append(p);
  return out;
}

Json::Value vmsJson(Daemon &daemon) {
  Json::Value out(Json::arrayValue);
  MonoTime now = monoNow();
  VmViews vms = knownVms(daemon);
  for (const VmView &it : *vms) {
    Json::Value vm(Json::objectValue);
    vm["name"] = it.Name.Value;
    vm["zone"] = it.Zone.Value;
    vm["departing"] = it.Departing;
    vm["age_ms"] =
        Json::Int64(std::chrono::duration_cast<Millis>(now - it.AsOf).count());
    Json::Value &loads = vm["slots"] = Json::Value(Json::objectValue);
    for (const auto &[key, load] : it.Loads) {
      Json::Value entry(Json::objectValue);
      entry["free"] = load.FreeSlots;
      entry["total"] = load.TotalSlots;
      entry["queued"] = load.Queued;
      loads[key.first.Value + "/" + key.second.Value] = entry;
    }
    out.append(vm);
  }
  return out;
}

Json::Value rolloutsJson(Daemon &daemon) {
  Json::Value out(Json::arrayValue);
  std::lock_guard<std::mutex> guard(daemon.Rollouts.Lock);
  for (const auto &[service, shard] : daemon.Rollouts.Services) {
    std::lock_guard<std::mutex> inner(shard->Lock);
    const Rollout &rollout = shard->State;
    Json::Value it(Json::objectValue);
    it["name"] = rollout.Spec.Name.Value;
    it["service"] = service.Value;
    it["share_ppm"] = Json::Int64(rollout.Record.Share.Value);
    it["stopped"] = rollout.Stopped;
    it["reason"] = rollout.StopReason;
    out.append(it);
  }
  return out;
}

Json::Value blocksJson(Daemon &daemon) {
  SnapshotPtr snapshot = currentSnapshot(daemon);
  Json::Value out(Json::objectValue);
  out["revision"] = Json::Int64(snapshot->BlocksRev.Value);
  out["count"] = Json::UInt64(snapshot->Blocks->Blocks.size());
  return out;
}

Json::Value statusJson(Daemon &daemon) {
  Json::Value out(Json::objectValue);
  out["vm"] = daemon.Conf.Vm.Value;
  out["zone"] = daemon.Conf.Zone.Value;
  out["incarnation"] = daemon.SelfIncarnation.Value;
  out["departing"] = daemon.Departing.load();
  out["keys_in_force"] = daemon.KeysUsable.load();
  out["requests_in_flight"] = daemon.RequestsInFlight.load();
  out["revisions"] = revisionsJson(daemon);
  out["blocks"] = blocksJson(daemon);
  out["membership"] = membershipJson(daemon);
  out["vms"] = vmsJson(daemon);
  out["rollouts"] = rolloutsJson(daemon);
  std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
  out["store_reachable"] = daemon.Documents.StoreReachable;
  out["store_contact_age_ms"] = ageMs(daemon.Documents.StoreContactAt);
  return out;
}

/// Whether callers may be sent to this VM: it has a configuration, and no
/// drain has begun.
bool isReady(Daemon &daemon) {
  return !daemon.Departing && currentSnapshot(daemon)->Conf.Rev > Revision(0);
}

/// Handles `POST /v1/faults?peers=host:port,host:port&store=1`, which simulates
/// network partitions in tests.
void setFaults(Daemon &daemon, const std::string &target,
               HTTPServerResponse &response) {
  std::string peers;
  bool store = false;
  for (const auto &[name, value] : Poco::URI(target).getQueryParameters()) {
    if (name == "peers")
      peers = value;
    else if (name == "store")
      store = value == "1";
  }
  setPartition(daemon, peers, store);
  sendText(response, 200, "text/plain", "ok\n");
}

void handleAdmin(Daemon &daemon, HTTPServerRequest &request,
                 HTTPServerResponse &response) {
  const std::string &path = request.getURI();
  bool isPost = request.getMethod() == "POST";
  if (path == "/healthz")
    return sendText(response, 200, "text/plain", "ok\n");
  if (path == "/readyz") {
    bool ready = isReady(daemon);
    return sendText(response, ready ? 200 : 503, "text/plain",
                    ready ? "ready\n" : "not ready\n");
  }
  if (path == "/metrics")
    return sendText(response, 200, "text/plain; version=0.0.4",
                    renderMetrics());
  if (path == "/v1/status")
    return sendJson(response, 200, statusJson(daemon));
  if (path == "/v1/drain" && isPost) {
    beginDrain(daemon);
    Json::Value body(Json::objectValue);
    body["draining"] = true;
    return sendJson(response, 202, body);
  }
  if (isPost && daemon.Conf.AllowFaultInjection &&
      path.compare(0, FaultsPath.size(), FaultsPath) == 0)
    return setFaults(daemon, path, response);
  sendText(response, path == "/v1/drain" ? 405 : 404, "text/plain",
           "not found\n");
}

class AdminHandler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit AdminHandler(Daemon &daemon) : LocalDaemon(daemon) {}
  void handleRequest(HTTPServerRequest &request,
                     HTTPServerResponse &response) override {
    handleAdmin(LocalDaemon, request, response);
  }

private:
  Daemon &LocalDaemon;
};

class AdminHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit AdminHandlerFactory(Daemon &daemon) : LocalDaemon(daemon) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new AdminHandler(LocalDaemon);
  }

private:
  Daemon &LocalDaemon;
};

} // namespace

std::unique_ptr<Poco::Net::HTTPServer> startAdminServer(Daemon &daemon) {
  auto *params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(AdminThreads);
  params->setKeepAlive(false);
  params->setSoftwareVersion("");
  try {
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(
        daemon.Conf.Address, static_cast<Poco::UInt16>(daemon.Conf.AdminPort)));
    auto server = std::make_unique<Poco::Net::HTTPServer>(
        new AdminHandlerFactory(daemon), socket, params);
    server->start();
    return server;
  } catch (const Poco::Exception &) {
    return nullptr;
  }
}

} // namespace savorylb
