#include "heartbeat.h"

#include "daemon.h"
#include "heartbeat_fill.h"
#include "heartbeat_peers.h"
#include "peer_calls.h"
#include "peer_messages.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"

#include <algorithm>
#include <grpcpp/client_context.h>
#include <grpcpp/support/client_callback.h>
#include <random>

namespace savorylb {
namespace {

/// Limits for one round of requests for full states.
constexpr std::size_t MaxPeersAsked = 8;
constexpr int MaxStatesPerRequest = 16;
/// Timeout of asynchronous heartbeats.
constexpr Duration HeartbeatTimeout = Millis(700);

struct HeartbeatCall {
  grpc::ClientContext Context;
  peer::HeartbeatRequest Request;
  peer::HeartbeatReply Reply;
  std::shared_ptr<PeerStub> Stub;
  MonoTime SentAt{};
};

/// Merges the rollout counts that a peer sent.
/// \param source name and incarnation of the peer: a restarted peer counts from
/// zero again.
void mergeEvidence(
    Daemon &daemon, const VmId &peer, const VmId &source,
    const google::protobuf::RepeatedPtrField<peer::RolloutEvidence> &in) {
  bool newlyStopped = false;
  bool stoppedHere = false;
  for (const peer::RolloutEvidence &it : in) {
    std::vector<std::shared_ptr<RolloutShard>> shards;
    {
      std::lock_guard<std::mutex> guard(daemon.Rollouts.Lock);
      for (const auto &[service, shard] : daemon.Rollouts.Services)
        shards.push_back(shard);
    }
    for (const auto &shard : shards) {
      std::lock_guard<std::mutex> guard(shard->Lock);
      if (shard->State.Spec.Name.Value != it.rollout())
        continue;
      VersionCounts failures{it.old_total(), it.old_failed(), it.new_total(),
                             it.new_failed()};
      VersionCounts slowness{it.old_total(), it.old_slow(), it.new_total(),
                             it.new_slow()};
      if (!mergePeerEvidence(shard->State, source, RouteId(it.route()),
                             failures, slowness, it.stop()))
        continue;
      newlyStopped = true;
      stoppedHere = stoppedHere || !it.stop();
      logEvent(EventCode::RolloutStopped,
               {{"rollout", it.rollout()},
                {"peer", peer.Value},
                {"reason", shard->State.StopReason}});
    }
  }
  // The VM that stopped the rollout may have died before it told all peers, so
  // each VM that learns of the stop sends heartbeats at once: to all peers if
  // its own merged counts led to the stop, otherwise to a few.
  if (newlyStopped)
    sendHeartbeats(daemon, stoppedHere);
}

void recordNewerRevisions(
    Daemon &daemon, const VmId &peer,
    const google::protobuf::RepeatedPtrField<peer::DocumentRevision> &in) {
  for (const peer::DocumentRevision &it : in) {
    Revision held = heldRevision(daemon, it.key());
    if (static_cast<std::uint64_t>(held.Value) >= it.revision())
      continue;
    std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
    daemon.Peers.NewerRevisionPeers[it.key()] = peer;
  }
}

/// Applies a heartbeat request or reply.
/// \returns false when it describes its sender by a brief whose full state is
/// not held.
template <typename Message>
bool applyMessage(Daemon &daemon, const peer::VmState &state,
                  const Message &message, MonoTime sentAt) {
  BriefSubject source;
  if (message.has_self()) {
    source = mergeBrief(daemon, message.self(), sentAt);
  } else {
    VmView view = readView(state, sentAt);
    source = {view.Name, view.VmIncarnation, view.PeerEndpoint};
    mergeView(daemon, std::move(view));
  }
  for (const peer::VmState &it : message.others())
    mergeView(daemon, readView(it, sentAt));
  if (source.Name.empty())
    return false;
  for (const peer::VmBrief &it : message.briefs())
    if (mergeBrief(daemon, it, sentAt).Name.empty())
      recordMissingState(daemon, it.id(), source.Endpoint);
  recordNewerRevisions(daemon, source.Name, message.revisions());
  VmId evidenceSource(source.Name.Value + "/" + source.VmIncarnation.Value);
  mergeEvidence(daemon, source.Name, evidenceSource, message.evidence());
  return true;
}

void applyReply(Daemon &daemon, const PeerAddress &peer,
                const peer::HeartbeatReply &reply, MonoTime sentAt) {
  if (!applyMessage(daemon, reply.receiver(), reply, sentAt))
    recordMissingState(daemon, reply.self().id(), peer.Endpoint);
}

void sendHeartbeat(Daemon &daemon, const PeerAddress &peer, bool full) {
  if (isPeerBlocked(daemon, peer.Endpoint))
    return recordCallResult(daemon, peer.Vm, false);
  auto pending = std::make_shared<HeartbeatCall>();
  pending->Stub = stubFor(daemon, peer.Endpoint);
  pending->SentAt = monoNow();
  pending->Context.set_deadline(std::chrono::system_clock::now() +
                                HeartbeatTimeout);
  if (full)
    fillFullHeartbeat(daemon, peer.Vm, pending->Request);
  else
    fillBriefHeartbeat(daemon, peer.Vm, pending->Request);
  countPeerMessage(pending->Request);
  pending->Stub->async()->Heartbeat(
      &pending->Context, &pending->Request, &pending->Reply,
      [pending, &daemon, peer, full](const grpc::Status &status) {
        recordCallResult(daemon, peer.Vm, status.ok());
        if (!status.ok())
          return;
        applyReply(daemon, peer, pending->Reply, pending->SentAt);
        if (pending->Reply.unknown_sender() && !full)
          sendHeartbeat(daemon, peer, true);
      });
}

/// A member that counts as silent: its last heartbeat is older than
/// VmSilenceLimit or is of another incarnation, or the last call to it failed.
struct SilentMember {
  VmId Vm;
  ZoneMember Member;
  /// The last heartbeat was of another incarnation.
  bool OtherIncarnationSeen = false;
};

/// Members probed in one round besides the successor and the VMs that name this
/// VM as successor. In a zone of many VMs some are always silent, and
/// connecting to all of them in each round would take time in proportion to the
/// zone.
constexpr int ProbesPerRound = 3;

/// Probes members without recent heartbeats for proof that they have ended. A
/// held state of another incarnation is no proof: it may be older than the
/// incarnation in the owner map, which may be alive. So each member is probed
/// after the map was read.
void probeSilentMembers(Daemon &daemon, const ZoneDocument &doc) {
  static thread_local std::mt19937_64 random(std::random_device{}());
  VmViews vms = knownVms(daemon);
  MonoTime now = monoNow();
  std::vector<SilentMember> silent;
  VmId successor;
  for (const auto &[vm, member] : doc.Members) {
    if (vm == daemon.Conf.Vm) {
      successor = member.Successor;
      continue;
    }
    auto it = std::find_if(vms->begin(), vms->end(),
                           [&, name = vm](auto &v) { return v.Name == name; });
    bool known = it != vms->end();
    bool heard = known && it->VmIncarnation == member.VmIncarnation &&
                 it->CallFailures == 0 && now - it->AsOf <= VmSilenceLimit;
    if (!heard)
      silent.push_back(
          {vm, member, known && it->VmIncarnation != member.VmIncarnation});
  }
  std::shuffle(silent.begin(), silent.end(), random);
  int probesLeft = ProbesPerRound;
  for (const SilentMember &it : silent) {
    // The successor, or a VM that names this VM as its successor.
    bool neighbour =
        it.Vm == successor || it.Member.Successor == daemon.Conf.Vm;
    if (!neighbour && probesLeft-- <= 0)
      continue;
    if (refusesConnections(daemon, it.Member.PeerEndpoint))
      recordProofOfDeath(daemon, it.Vm, it.Member.VmIncarnation);
    else if (it.OtherIncarnationSeen)
      requestLease(daemon, {it.Vm, it.Member.PeerEndpoint},
                   it.Member.VmIncarnation);
  }
}

} // namespace

void sendHeartbeats(Daemon &daemon, bool toAllPeers) {
  static thread_local std::mt19937_64 random(std::random_device{}());
  std::vector<HeartbeatPeer> peers = knownPeers(daemon);
  std::shuffle(peers.begin(), peers.end(), random);
  if (!toAllPeers)
    chooseHeartbeatPeers(peers);
  for (const HeartbeatPeer &it : peers)
    sendHeartbeat(daemon, it.Address, !takesBriefs(daemon, it.Address.Vm));
}

void answerHeartbeat(Daemon &daemon, const peer::HeartbeatRequest &request,
                     peer::HeartbeatReply &reply) {
  bool known = applyMessage(daemon, request.sender(), request, monoNow());
  if (request.has_self()) {
    VmId sender = vmByBriefId(daemon, request.self().id());
    reply.set_unknown_sender(!known);
    fillBriefHeartbeat(daemon, sender, reply);
    if (request.revisions_hash() != reply.revisions_hash())
      fillRevisions(daemon, *reply.mutable_revisions());
    fillRequestedStates(daemon, request, reply);
  } else {
    fillFullHeartbeat(daemon, VmId(request.sender().info().vm()), reply);
  }
  countPeerMessage(reply);
}

void requestMissingStates(Daemon &daemon) {
  std::map<std::string, std::vector<std::uint32_t>> wanted;
  {
    std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
    for (const auto &[id, endpoint] : daemon.Peers.MissingStates)
      if (daemon.Peers.VmsByBriefId.count(id) == 0)
        wanted[endpoint].push_back(id);
    daemon.Peers.MissingStates.clear();
  }
  std::size_t asked = 0;
  for (const auto &[endpoint, ids] : wanted) {
    if (++asked > MaxPeersAsked || daemon.Stopping)
      return;
    peer::HeartbeatRequest request;
    fillBriefHeartbeat(daemon, VmId(), request);
    request.clear_briefs();
    for (std::uint32_t id : ids)
      if (request.wanted_size() < MaxStatesPerRequest)
        request.add_wanted(id);
    MonoTime sentAt = monoNow();
    peer::HeartbeatReply reply;
    PeerAddress peer{vmAtEndpoint(daemon, endpoint), endpoint};
    if (callHeartbeat(daemon, peer, request, reply))
      applyReply(daemon, peer, reply, sentAt);
  }
}

void pullNewerDocuments(Daemon &daemon) {
  std::map<std::string, VmId> newer;
  {
    std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
    newer.swap(daemon.Peers.NewerRevisionPeers);
  }
  for (DocumentOrder order : AllDocumentOrders)
    for (const auto &[key, vm] : newer) {
      std::string endpoint = peerEndpoint(daemon, vm);
      peer::GetDocumentReply reply;
      if (documentOrder(key) == order && !endpoint.empty() &&
          callGetDocument(daemon, {vm, endpoint}, key, reply))
        receiveDocument(daemon, key, reply.content(), 0, DocumentSource::Peer);
    }
}

void recordProofOfDeath(Daemon &daemon, const VmId &vm,
                        const Incarnation &incarnation) {
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  MonoTime now = monoNow();
  state.ProvedDeadAt.try_emplace({vm, incarnation}, now);
  if (state.OwnLease.Successor == vm &&
      state.OwnLease.SuccessorIncarnation == incarnation)
    markSuccessorDead(state.OwnLease, now);
  markCandidateDead(state.OwnLease, vm, incarnation, now);
}

bool requestLease(Daemon &daemon, const PeerAddress &peer,
                  const Incarnation &incarnation) {
  peer::RenewRequest request;
  request.mutable_holder()->set_vm(daemon.Conf.Vm.Value);
  request.mutable_holder()->set_incarnation(daemon.SelfIncarnation.Value);
  request.set_successor_incarnation(incarnation.Value);
  peer::RenewReply reply;
  if (!callRenew(daemon, peer, request, reply))
    return false;
  // Another process answers at the endpoint of that incarnation.
  if (reply.incarnation() != incarnation.Value)
    recordProofOfDeath(daemon, peer.Vm, incarnation);
  return reply.granted();
}

void renewOwnLease(Daemon &daemon) {
  ZoneDocument doc;
  std::vector<std::pair<VmId, Incarnation>> grantors;
  {
    MembershipState &state = daemon.Membership;
    std::lock_guard<std::mutex> guard(state.Lock);
    doc = state.Doc;
    if (state.IsMember && !state.OwnLease.Successor.empty())
      grantors.emplace_back(state.OwnLease.Successor,
                            state.OwnLease.SuccessorIncarnation);
    for (const auto &[member, candidate] : state.OwnLease.Candidates)
      grantors.push_back(member);
  }
  for (const auto &[vm, incarnation] : grantors) {
    auto member = doc.Members.find(vm);
    if (member == doc.Members.end())
      continue;
    MonoTime sentAt = monoNow();
    if (!requestLease(daemon, {vm, member->second.PeerEndpoint}, incarnation))
      continue;
    MembershipState &state = daemon.Membership;
    std::lock_guard<std::mutex> guard(state.Lock);
    if (state.OwnLease.Successor == vm &&
        state.OwnLease.SuccessorIncarnation == incarnation)
      renewLease(state.OwnLease, sentAt, state.Times);
    renewCandidate(state.OwnLease, vm, incarnation, sentAt, state.Times);
  }
  probeSilentMembers(daemon, doc);
}

} // namespace savorylb
