#include "peer_directory.h"

#include "daemon.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "vm_brief.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

namespace savorylb {
namespace {

constexpr int CircuitFailures = 3;
constexpr Duration CircuitOpenTime = Seconds(1);
constexpr Duration SilentVmRetention = Seconds(60);
/// This VM reports contact with the store while the last answer is at most this
/// old. Exceeds WatchWait, the interval of answers on VMs that watch all
/// documents.
constexpr Duration StoreContactLimit = Seconds(3);

std::shared_ptr<PeerStub> makeStub(const std::string &endpoint) {
  grpc::ChannelArguments args;
  // Detects a dead connection within 2 s.
  args.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 1000);
  args.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 1000);
  args.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  // Reconnects soon after a peer has returned.
  args.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  args.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
  args.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 300);
  // A retry by gRPC could execute a call twice.
  args.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  auto channel = grpc::CreateCustomChannel(
      endpoint, grpc::InsecureChannelCredentials(), args);
  return peer::Peer::NewStub(channel);
}

VmView ownView(Daemon &daemon) {
  VmView view;
  view.Name = daemon.Conf.Vm;
  view.VmIncarnation = daemon.SelfIncarnation;
  view.Zone = daemon.Conf.Zone;
  view.Region = daemon.Conf.Region;
  view.PeerEndpoint = ownPeerEndpoint(daemon);
  view.CallerEndpoint = ownCallerEndpoint(daemon);
  view.Departing = daemon.Departing;
  view.AsOf = monoNow();
  view.Loads = publishedLoads(daemon);
  view.Tokens = tokenLevels(daemon);
  view.TakesBriefs = true;
  view.BriefId = briefId(view);
  std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
  view.StoreContactAt = daemon.Documents.StoreContactAt;
  view.StoreContact = daemon.Documents.StoreReachable &&
                      view.AsOf - view.StoreContactAt <= StoreContactLimit;
  return view;
}

} // namespace

std::shared_ptr<PeerStub> stubFor(Daemon &daemon, const std::string &endpoint) {
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  std::shared_ptr<PeerStub> &stub = daemon.Peers.Stubs[endpoint];
  if (!stub)
    stub = makeStub(endpoint);
  return stub;
}

VmViews knownVms(Daemon &daemon) {
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  return daemon.Peers.Current;
}

std::shared_ptr<const LookupIndex> lookupIndex(Daemon &daemon) {
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  return daemon.Peers.Index;
}

void mergeView(Daemon &daemon, VmView view) {
  if (view.Name == daemon.Conf.Vm || view.Name.empty())
    return;
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  auto [it, added] = daemon.Peers.Vms.try_emplace(view.Name);
  VmView &held = it->second;
  if (!added && view.AsOf <= held.AsOf)
    return;
  view.CallFailures = held.CallFailures;
  view.RetryAt = held.RetryAt;
  view.StoreContactAt = std::max(view.StoreContactAt, held.StoreContactAt);
  // Departing is final for an incarnation; only a new one ends it.
  if (!added && held.VmIncarnation == view.VmIncarnation)
    view.Departing = view.Departing || held.Departing;
  if (!added && held.BriefId != view.BriefId)
    daemon.Peers.VmsByBriefId.erase(held.BriefId);
  daemon.Peers.VmsByBriefId[view.BriefId] = view.Name;
  held = std::move(view);
}

BriefSubject mergeBrief(Daemon &daemon, const peer::VmBrief &brief,
                        MonoTime sentAt) {
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  auto id = daemon.Peers.VmsByBriefId.find(brief.id());
  if (id == daemon.Peers.VmsByBriefId.end())
    return {};
  auto it = daemon.Peers.Vms.find(id->second);
  if (it == daemon.Peers.Vms.end())
    return {};
  applyBrief(brief, sentAt, it->second);
  return {it->first, it->second.VmIncarnation, it->second.PeerEndpoint};
}

void recordMissingState(Daemon &daemon, std::uint32_t id,
                        const std::string &endpoint) {
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  if (id != daemon.Peers.OwnBriefId)
    daemon.Peers.MissingStates[id] = endpoint;
}

bool takesBriefs(Daemon &daemon, const VmId &vm) {
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  auto it = daemon.Peers.Vms.find(vm);
  return it != daemon.Peers.Vms.end() && it->second.TakesBriefs;
}

VmId vmByBriefId(Daemon &daemon, std::uint32_t id) {
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  auto it = daemon.Peers.VmsByBriefId.find(id);
  return it == daemon.Peers.VmsByBriefId.end() ? VmId() : it->second;
}

VmId vmAtEndpoint(Daemon &daemon, const std::string &endpoint) {
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  for (const auto &[name, view] : daemon.Peers.Vms)
    if (view.PeerEndpoint == endpoint)
      return name;
  return {};
}

void recordCallResult(Daemon &daemon, const VmId &vm, bool reached) {
  bool down = false;
  bool up = false;
  {
    std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
    auto it = daemon.Peers.Vms.find(vm);
    if (it == daemon.Peers.Vms.end())
      return;
    VmView &view = it->second;
    if (reached) {
      up = view.CallFailures >= CircuitFailures;
      view.CallFailures = 0;
      view.RetryAt = MonoTime{};
    } else {
      view.CallFailures += 1;
      down = view.CallFailures == CircuitFailures;
      if (view.CallFailures >= CircuitFailures)
        view.RetryAt = monoNow() + CircuitOpenTime;
    }
  }
  if (down || up)
    logEvent(up ? EventCode::PeerUp : EventCode::PeerDown,
             {{"peer", vm.Value}});
}

void refreshViews(Daemon &daemon) {
  VmView own = ownView(daemon);
  SnapshotPtr snapshot = currentSnapshot(daemon);
  auto next = std::make_shared<std::vector<VmView>>();
  {
    std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
    next->reserve(daemon.Peers.Vms.size() + 1);
    for (const auto &[name, view] : daemon.Peers.Vms) {
      next->push_back(view);
      if (daemon.Peers.ListedDeparting.count(name))
        next->back().Departing = true;
    }
    if (daemon.Peers.ListedDeparting.count(daemon.Conf.Vm))
      own.Departing = true;
    daemon.Peers.OwnBriefId = own.BriefId;
  }
  next->push_back(std::move(own));
  auto index = std::make_shared<const LookupIndex>(
      makeLookupIndex(snapshot->Conf, *next));
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  daemon.Peers.Current = next;
  daemon.Peers.Index = index;
}

std::string peerEndpoint(Daemon &daemon, const VmId &vm) {
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  auto it = daemon.Peers.Vms.find(vm);
  return it == daemon.Peers.Vms.end() ? "" : it->second.PeerEndpoint;
}

void removeSilentVms(Daemon &daemon) {
  MonoTime now = monoNow();
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  auto &vms = daemon.Peers.Vms;
  for (auto it = vms.begin(); it != vms.end();) {
    if (now - it->second.AsOf <= SilentVmRetention) {
      ++it;
      continue;
    }
    daemon.Peers.VmsByBriefId.erase(it->second.BriefId);
    it = vms.erase(it);
  }
}

} // namespace savorylb
