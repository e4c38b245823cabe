#include "heartbeat.h"

#include "daemon.h"
#include "peer_calls.h"
#include "peer_messages.h"
#include "savorylb/clock.h"
#include "savorylb/digest.h"
#include "savorylb/event_log.h"

#include <algorithm>
#include <grpcpp/client_context.h>
#include <grpcpp/support/client_callback.h>
#include <random>

namespace savorylb {
namespace {

/// Peers that get a heartbeat each second. Others hear of this VM through
/// them, so that the traffic of one VM does not grow with the fleet.
constexpr std::size_t HeartbeatFanout = 4;
/// Other VMs' states passed on in one message.
constexpr std::size_t PassedOnStates = 12;
constexpr Duration HeartbeatTimeout = Millis(700);

struct HeartbeatCall {
  grpc::ClientContext Context;
  peer::HeartbeatRequest Request;
  peer::HeartbeatReply Reply;
  std::shared_ptr<PeerStub> Stub;
  MonoTime SentAt{};
};

void fillRevisions(
    Daemon &daemon,
    google::protobuf::RepeatedPtrField<peer::DocumentRevision> &out) {
  for (const auto &[key, document] : heldDocuments(daemon)) {
    peer::DocumentRevision &it = *out.Add();
    it.set_key(key);
    it.set_revision(static_cast<std::uint64_t>(document.Rev.Value));
  }
}

void fillEvidence(
    Daemon &daemon,
    google::protobuf::RepeatedPtrField<peer::RolloutEvidence> &out) {
  std::vector<std::shared_ptr<RolloutShard>> shards;
  {
    std::lock_guard<std::mutex> guard(daemon.Rollouts.Lock);
    for (const auto &[service, shard] : daemon.Rollouts.Services)
      shards.push_back(shard);
  }
  for (const auto &shard : shards) {
    std::lock_guard<std::mutex> guard(shard->Lock);
    const Rollout &rollout = shard->State;
    for (const auto &[route, evidence] : rollout.Routes) {
      peer::RolloutEvidence &it = *out.Add();
      it.set_rollout(rollout.Spec.Name.Value);
      it.set_route(route.Value);
      it.set_old_total(evidence.Failures.OldTotal);
      it.set_old_failed(evidence.Failures.OldBad);
      it.set_new_total(evidence.Failures.NewTotal);
      it.set_new_failed(evidence.Failures.NewBad);
      it.set_old_slow(evidence.Slowness.OldBad);
      it.set_new_slow(evidence.Slowness.NewBad);
      it.set_stop(rollout.Stopped);
    }
  }
}

void fillOthers(Daemon &daemon, const VmId &receiver,
                google::protobuf::RepeatedPtrField<peer::VmState> &out) {
  VmViews vms = knownVms(daemon);
  std::vector<const VmView *> others;
  for (const VmView &it : *vms)
    if (it.Name != daemon.Conf.Vm && it.Name != receiver)
      others.push_back(&it);
  // The freshest states are of most use to the receiver.
  std::sort(others.begin(), others.end(),
            [](const VmView *a, const VmView *b) { return a->AsOf > b->AsOf; });
  if (others.size() > PassedOnStates)
    others.resize(PassedOnStates);
  MonoTime now = monoNow();
  for (const VmView *it : others)
    fillView(*it, now, *out.Add());
}

void fillSelf(Daemon &daemon, peer::VmState &out) {
  VmViews vms = knownVms(daemon);
  for (const VmView &it : *vms)
    if (it.Name == daemon.Conf.Vm)
      fillView(it, monoNow(), out);
}

/// \param peer the peer.
/// \param source name and incarnation: a restarted peer counts from zero again.
void takeEvidence(
    Daemon &daemon, const VmId &peer, const VmId &source,
    const google::protobuf::RepeatedPtrField<peer::RolloutEvidence> &in) {
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
      if (mergeEvidence(shard->State, source, RouteId(it.route()), failures,
                        slowness, it.stop()))
        logEvent(EventCode::RolloutStopped,
                 {{"rollout", it.rollout()},
                  {"peer", peer.Value},
                  {"reason", shard->State.StopReason}});
    }
  }
}

void takeRevisions(
    Daemon &daemon, const VmId &peer,
    const google::protobuf::RepeatedPtrField<peer::DocumentRevision> &in) {
  for (const peer::DocumentRevision &it : in) {
    CachedDocument held = heldDocument(daemon, it.key());
    if (static_cast<std::uint64_t>(held.Rev.Value) >= it.revision())
      continue;
    std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
    daemon.Peers.NewerAt[it.key()] = peer;
  }
}

template <typename Message>
void takeMessage(Daemon &daemon, const peer::VmState &state,
                 const Message &message, MonoTime sentAt) {
  VmView view = readView(state, sentAt);
  VmId name = view.Name;
  mergeView(daemon, std::move(view));
  for (const peer::VmState &it : message.others())
    mergeView(daemon, readView(it, sentAt));
  takeRevisions(daemon, name, message.revisions());
  VmId source(name.Value + "/" + state.info().incarnation());
  takeEvidence(daemon, name, source, message.evidence());
}

void sendHeartbeat(Daemon &daemon, const PeerAddress &peer) {
  if (isPeerBlocked(daemon, peer.Endpoint))
    return noteCall(daemon, peer.Vm, false);
  auto pending = std::make_shared<HeartbeatCall>();
  pending->Stub = stubFor(daemon, peer.Endpoint);
  pending->SentAt = monoNow();
  pending->Context.set_deadline(std::chrono::system_clock::now() +
                                HeartbeatTimeout);
  peer::HeartbeatRequest &request = pending->Request;
  fillSelf(daemon, *request.mutable_sender());
  fillRevisions(daemon, *request.mutable_revisions());
  fillEvidence(daemon, *request.mutable_evidence());
  fillOthers(daemon, peer.Vm, *request.mutable_others());
  countPeerMessage(request);
  pending->Stub->async()->Heartbeat(
      &pending->Context, &pending->Request, &pending->Reply,
      [pending, &daemon, peer](const grpc::Status &status) {
        noteCall(daemon, peer.Vm, status.ok());
        if (status.ok())
          takeMessage(daemon, pending->Reply.receiver(), pending->Reply,
                      pending->SentAt);
      });
}

/// All peers that this VM has heard of, those of the platform's list and the
/// seeds of the settings.
std::vector<PeerAddress> knownPeers(Daemon &daemon) {
  std::map<std::string, PeerAddress> peers;
  for (const std::string &it : daemon.Conf.Seeds)
    peers[it] = {VmId(), it};
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  for (const auto &[name, endpoint] : daemon.Peers.ListedEndpoints)
    peers[endpoint] = {name, endpoint};
  for (const auto &[name, view] : daemon.Peers.Vms)
    peers[view.PeerEndpoint] = {name, view.PeerEndpoint};
  peers.erase(ownPeerEndpoint(daemon));
  std::vector<PeerAddress> result;
  result.reserve(peers.size());
  for (auto &[endpoint, peer] : peers)
    result.push_back(std::move(peer));
  return result;
}

/// Records proof that an incarnation is gone for good.
void noteProof(Daemon &daemon, const VmId &vm, const Incarnation &life) {
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  MonoTime now = monoNow();
  state.ProvedDeadAt.try_emplace({vm, life}, now);
  if (state.Own.Successor == vm && state.Own.SuccessorLife == life)
    markSuccessorDead(state.Own, now);
  markCandidateDead(state.Own, vm, life, now);
}

/// Members whose heartbeats stopped may have died.
void probeSilentMembers(Daemon &daemon, const ZoneDocument &doc) {
  VmViews vms = knownVms(daemon);
  MonoTime now = monoNow();
  for (const auto &[vm, member] : doc.Members) {
    if (vm == daemon.Conf.Vm)
      continue;
    auto it = std::find_if(vms->begin(), vms->end(),
                           [&, name = vm](auto &v) { return v.Name == name; });
    bool heard = it != vms->end() && it->Life == member.Life &&
                 it->CallFailures == 0 && now - it->AsOf <= VmSilenceLimit;
    bool replaced = it != vms->end() && it->Life != member.Life &&
                    it->PeerEndpoint == member.PeerEndpoint &&
                    now - it->AsOf <= VmSilenceLimit;
    if (replaced || (!heard && refusesConnections(daemon, member.PeerEndpoint)))
      noteProof(daemon, vm, member.Life);
  }
}

} // namespace

void sendHeartbeats(Daemon &daemon, bool everyone) {
  static thread_local std::mt19937_64 random(std::random_device{}());
  std::vector<PeerAddress> peers = knownPeers(daemon);
  std::shuffle(peers.begin(), peers.end(), random);
  if (!everyone && peers.size() > HeartbeatFanout)
    peers.resize(HeartbeatFanout);
  for (const PeerAddress &it : peers)
    sendHeartbeat(daemon, it);
}

void answerHeartbeat(Daemon &daemon, const peer::HeartbeatRequest &request,
                     peer::HeartbeatReply &reply) {
  VmId sender(request.sender().info().vm());
  takeMessage(daemon, request.sender(), request, monoNow());
  fillSelf(daemon, *reply.mutable_receiver());
  fillRevisions(daemon, *reply.mutable_revisions());
  fillEvidence(daemon, *reply.mutable_evidence());
  fillOthers(daemon, sender, *reply.mutable_others());
  countPeerMessage(reply);
}

void pullNewerDocuments(Daemon &daemon) {
  std::map<std::string, VmId> newer;
  {
    std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
    newer.swap(daemon.Peers.NewerAt);
  }
  for (const auto &[key, vm] : newer) {
    std::string endpoint = peerEndpoint(daemon, vm);
    peer::GetDocumentReply reply;
    if (!endpoint.empty() &&
        callGetDocument(daemon, {vm, endpoint}, key, reply))
      offerDocument(daemon, key, reply.content(), 0, DocumentSource::Peer);
  }
}

bool askForLease(Daemon &daemon, const PeerAddress &peer,
                 const Incarnation &life) {
  peer::RenewRequest request;
  request.mutable_holder()->set_vm(daemon.Conf.Vm.Value);
  request.mutable_holder()->set_incarnation(daemon.Life.Value);
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
      grantors.emplace_back(state.Own.Successor, state.Own.SuccessorLife);
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
    if (state.Own.Successor == vm && state.Own.SuccessorLife == life)
      renewLease(state.Own, sentAt, state.Times);
    renewCandidate(state.Own, vm, life, sentAt, state.Times);
  }
  probeSilentMembers(daemon, doc);
}

} // namespace savorylb
