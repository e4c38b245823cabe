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

/// Peers asked for whole states in one round, and states asked of each.
constexpr std::size_t PeersAsked = 8;
constexpr int StatesAsked = 16;
constexpr Duration HeartbeatTimeout = Millis(700);

struct HeartbeatCall {
  grpc::ClientContext Context;
  peer::HeartbeatRequest Request;
  peer::HeartbeatReply Reply;
  std::shared_ptr<PeerStub> Stub;
  MonoTime SentAt{};
};

/// \param peer the peer.
/// \param source name and incarnation: a restarted peer counts from zero again.
void takeEvidence(
    Daemon &daemon, const VmId &peer, const VmId &source,
    const google::protobuf::RepeatedPtrField<peer::RolloutEvidence> &in) {
  bool stopped = false;
  bool first = false;
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
      stopped = true;
      first = first || !it.stop();
      logEvent(EventCode::RolloutStopped,
               {{"rollout", it.rollout()},
                {"peer", peer.Value},
                {"reason", shard->State.StopReason}});
    }
  }
  // The VM that stopped it may have died before it told all; each VM that hears
  // of it tells a few at once.
  if (stopped)
    sendHeartbeats(daemon, first);
}

void takeRevisions(
    Daemon &daemon, const VmId &peer,
    const google::protobuf::RepeatedPtrField<peer::DocumentRevision> &in) {
  for (const peer::DocumentRevision &it : in) {
    Revision held = heldRevision(daemon, it.key());
    if (static_cast<std::uint64_t>(held.Value) >= it.revision())
      continue;
    std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
    daemon.Peers.NewerAt[it.key()] = peer;
  }
}

/// Takes in a message of either kind.
/// \returns false when the sender's brief is of a state not held here.
template <typename Message>
bool takeMessage(Daemon &daemon, const peer::VmState &state,
                 const Message &message, MonoTime sentAt) {
  BriefSource source;
  if (message.has_self()) {
    source = mergeBrief(daemon, message.self(), sentAt);
  } else {
    VmView view = readView(state, sentAt);
    source = {view.Name, view.Life, view.PeerEndpoint};
    mergeView(daemon, std::move(view));
  }
  for (const peer::VmState &it : message.others())
    mergeView(daemon, readView(it, sentAt));
  if (source.Name.empty())
    return false;
  for (const peer::VmBrief &it : message.briefs())
    if (mergeBrief(daemon, it, sentAt).Name.empty())
      wantView(daemon, it.id(), source.Endpoint);
  takeRevisions(daemon, source.Name, message.revisions());
  VmId life(source.Name.Value + "/" + source.Life.Value);
  takeEvidence(daemon, source.Name, life, message.evidence());
  return true;
}

void takeReply(Daemon &daemon, const PeerAddress &peer,
               const peer::HeartbeatReply &reply, MonoTime sentAt) {
  if (!takeMessage(daemon, reply.receiver(), reply, sentAt))
    wantView(daemon, reply.self().id(), peer.Endpoint);
}

void sendHeartbeat(Daemon &daemon, const PeerAddress &peer, bool whole) {
  if (isPeerBlocked(daemon, peer.Endpoint))
    return noteCall(daemon, peer.Vm, false);
  auto pending = std::make_shared<HeartbeatCall>();
  pending->Stub = stubFor(daemon, peer.Endpoint);
  pending->SentAt = monoNow();
  pending->Context.set_deadline(std::chrono::system_clock::now() +
                                HeartbeatTimeout);
  if (whole)
    fillWhole(daemon, peer.Vm, pending->Request);
  else
    fillBriefly(daemon, peer.Vm, pending->Request);
  countPeerMessage(pending->Request);
  pending->Stub->async()->Heartbeat(
      &pending->Context, &pending->Request, &pending->Reply,
      [pending, &daemon, peer, whole](const grpc::Status &status) {
        noteCall(daemon, peer.Vm, status.ok());
        if (!status.ok())
          return;
        takeReply(daemon, peer, pending->Reply, pending->SentAt);
        if (pending->Reply.unknown_sender() && !whole)
          sendHeartbeat(daemon, peer, true);
      });
}

/// A member that was not heard of lately.
struct SilentMember {
  VmId Vm;
  ZoneMember Member;
  /// Another incarnation of it was heard of.
  bool SeenOtherLife = false;
};

/// Members probed in one round besides the own neighbours: in a zone of many
/// VMs some are always silent, and a round of connections to all of them would
/// cost time in proportion to the zone.
constexpr int ProbesPerRound = 3;

/// Members whose heartbeats stopped may have died. Only what is seen after the
/// map was read proves that: the view may still be of the incarnation before
/// the one that the map names, and that one is alive.
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
    bool heard = known && it->Life == member.VmIncarnation &&
                 it->CallFailures == 0 && now - it->AsOf <= VmSilenceLimit;
    if (!heard)
      silent.push_back({vm, member, known && it->Life != member.VmIncarnation});
  }
  std::shuffle(silent.begin(), silent.end(), random);
  int others = ProbesPerRound;
  for (const SilentMember &it : silent) {
    bool neighbour =
        it.Vm == successor || it.Member.Successor == daemon.Conf.Vm;
    if (!neighbour && others-- <= 0)
      continue;
    if (refusesConnections(daemon, it.Member.PeerEndpoint))
      noteProof(daemon, it.Vm, it.Member.VmIncarnation);
    else if (it.SeenOtherLife)
      askForLease(daemon, {it.Vm, it.Member.PeerEndpoint},
                  it.Member.VmIncarnation);
  }
}

} // namespace

void sendHeartbeats(Daemon &daemon, bool everyone) {
  static thread_local std::mt19937_64 random(std::random_device{}());
  std::vector<HeartbeatPeer> peers = knownPeers(daemon);
  std::shuffle(peers.begin(), peers.end(), random);
  if (!everyone)
    chooseHeartbeatPeers(peers);
  for (const HeartbeatPeer &it : peers)
    sendHeartbeat(daemon, it.Address, !takesBriefs(daemon, it.Address.Vm));
}

void answerHeartbeat(Daemon &daemon, const peer::HeartbeatRequest &request,
                     peer::HeartbeatReply &reply) {
  bool known = takeMessage(daemon, request.sender(), request, monoNow());
  if (request.has_self()) {
    VmId sender = vmOfBrief(daemon, request.self().id());
    reply.set_unknown_sender(!known);
    fillBriefly(daemon, sender, reply);
    if (request.revisions_hash() != reply.revisions_hash())
      fillRevisions(daemon, *reply.mutable_revisions());
    fillWanted(daemon, request, reply);
  } else {
    fillWhole(daemon, VmId(request.sender().info().vm()), reply);
  }
  countPeerMessage(reply);
}

void askForViews(Daemon &daemon) {
  std::map<std::string, std::vector<std::uint32_t>> wanted;
  {
    std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
    for (const auto &[id, endpoint] : daemon.Peers.Wanted)
      if (daemon.Peers.BriefIds.count(id) == 0)
        wanted[endpoint].push_back(id);
    daemon.Peers.Wanted.clear();
  }
  std::size_t asked = 0;
  for (const auto &[endpoint, ids] : wanted) {
    if (++asked > PeersAsked || daemon.Stopping)
      return;
    peer::HeartbeatRequest request;
    fillBriefly(daemon, VmId(), request);
    request.clear_briefs();
    for (std::uint32_t id : ids)
      if (request.wanted_size() < StatesAsked)
        request.add_wanted(id);
    MonoTime sentAt = monoNow();
    peer::HeartbeatReply reply;
    PeerAddress peer{vmAtEndpoint(daemon, endpoint), endpoint};
    if (callHeartbeat(daemon, peer, request, reply))
      takeReply(daemon, peer, reply, sentAt);
  }
}

void pullNewerDocuments(Daemon &daemon) {
  std::map<std::string, VmId> newer;
  {
    std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
    newer.swap(daemon.Peers.NewerAt);
  }
  for (DocumentOrder order : AllDocumentOrders)
    for (const auto &[key, vm] : newer) {
      std::string endpoint = peerEndpoint(daemon, vm);
      peer::GetDocumentReply reply;
      if (documentOrder(key) == order && !endpoint.empty() &&
          callGetDocument(daemon, {vm, endpoint}, key, reply))
        offerDocument(daemon, key, reply.content(), 0, DocumentSource::Peer);
    }
}

void noteProof(Daemon &daemon, const VmId &vm, const Incarnation &life) {
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  MonoTime now = monoNow();
  state.ProvedDeadAt.try_emplace({vm, life}, now);
  if (state.Own.Successor == vm && state.Own.SuccessorIncarnation == life)
    markSuccessorDead(state.Own, now);
  markCandidateDead(state.Own, vm, life, now);
}

bool askForLease(Daemon &daemon, const PeerAddress &peer,
                 const Incarnation &life) {
  peer::RenewRequest request;
  request.mutable_holder()->set_vm(daemon.Conf.Vm.Value);
  request.mutable_holder()->set_incarnation(daemon.SelfIncarnation.Value);
  request.set_successor_incarnation(life.Value);
  peer::RenewReply reply;
  if (!callRenew(daemon, peer, request, reply))
    return false;
  // Another process answers where that incarnation listened.
  if (reply.incarnation() != life.Value)
    noteProof(daemon, peer.Vm, life);
  return reply.granted();
}

void renewOwnLease(Daemon &daemon) {
  ZoneDocument doc;
  std::vector<std::pair<VmId, Incarnation>> grantors;
  {
    MembershipState &state = daemon.Membership;
    std::lock_guard<std::mutex> guard(state.Lock);
    doc = state.Doc;
    if (state.Member && !state.Own.Successor.empty())
      grantors.emplace_back(state.Own.Successor,
                            state.Own.SuccessorIncarnation);
    for (const auto &[member, candidate] : state.Own.Candidates)
      grantors.push_back(member);
  }
  for (const auto &[vm, life] : grantors) {
    auto member = doc.Members.find(vm);
    if (member == doc.Members.end())
      continue;
    MonoTime sentAt = monoNow();
    if (!askForLease(daemon, {vm, member->second.PeerEndpoint}, life))
      continue;
    MembershipState &state = daemon.Membership;
    std::lock_guard<std::mutex> guard(state.Lock);
    if (state.Own.Successor == vm && state.Own.SuccessorIncarnation == life)
      renewLease(state.Own, sentAt, state.Times);
    renewCandidate(state.Own, vm, life, sentAt, state.Times);
  }
  probeSilentMembers(daemon, doc);
}

} // namespace savorylb
