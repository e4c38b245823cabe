#include "heartbeat_fill.h"

#include "daemon.h"
#include "peer_messages.h"
#include "savorylb/clock.h"
#include "savorylb/hash.h"
#include "vm_brief.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace savorylb {
namespace {

/// Full states of other VMs in one message.
constexpr std::size_t MaxRelayedStates = 12;
/// Briefs of other VMs in one message. With two heartbeats sent and two
/// answered per second, this many briefs take at most 3 KB/s.
constexpr std::size_t MaxRelayedBriefs = 16;
/// Up to this number of VMs, relayed briefs carry token levels too, so that VMs
/// choose lenders as well as with full states.
constexpr std::size_t SmallFleetSize = 16;
/// Older briefs are not relayed, since their receivers hold more recent ones.
constexpr Duration MaxBriefAge = Millis(2000);
/// After a change, requests carry all revisions for this time; afterwards only
/// replies do, to a peer whose hash of the revisions differs.
constexpr Duration RevisionSendTime = Seconds(5);

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
    // A VM without requests of its own relays a stop, too.
    if (rollout.Stopped && rollout.Routes.empty()) {
      peer::RolloutEvidence &it = *out.Add();
      it.set_rollout(rollout.Spec.Name.Value);
      it.set_stop(true);
    }
    for (const auto &[route, evidence] : rollout.Routes) {
      peer::RolloutEvidence &it = *out.Add();
      it.set_rollout(rollout.Spec.Name.Value);
      it.set_route(route.Value);
      it.set_old_total(evidence.OwnFailures.OldTotal);
      it.set_old_failed(evidence.OwnFailures.OldBad);
      it.set_new_total(evidence.OwnFailures.NewTotal);
      it.set_new_failed(evidence.OwnFailures.NewBad);
      it.set_old_slow(evidence.OwnSlowness.OldBad);
      it.set_new_slow(evidence.OwnSlowness.NewBad);
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
  // The most recent states are the most useful ones to the receiver.
  std::sort(others.begin(), others.end(),
            [](const VmView *a, const VmView *b) { return a->AsOf > b->AsOf; });
  if (others.size() > MaxRelayedStates)
    others.resize(MaxRelayedStates);
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

/// Chooses the most recent states. Up to half of the places go to the own zone
/// first: its VMs must learn of each other, and peers of other zones hold the
/// least recent states of them.
std::vector<const VmView *> chooseBriefs(Daemon &daemon, const VmId &receiver,
                                         const std::vector<VmView> &vms,
                                         MonoTime now) {
  std::vector<const VmView *> others;
  for (const VmView &it : vms)
    if (it.Name != daemon.Conf.Vm && it.Name != receiver && it.BriefId != 0 &&
        now - it.AsOf <= MaxBriefAge)
      others.push_back(&it);
  auto fresher = [](const VmView *a, const VmView *b) {
    return a->AsOf > b->AsOf;
  };
  if (others.size() <= MaxRelayedBriefs)
    return others;
  auto rest =
      std::partition(others.begin(), others.end(), [&](const VmView *it) {
        return it->Zone == daemon.Conf.Zone;
      });
  std::sort(others.begin(), rest, fresher);
  if (rest - others.begin() > std::ptrdiff_t(MaxRelayedBriefs / 2))
    rest = others.begin() + MaxRelayedBriefs / 2;
  std::sort(rest, others.end(), fresher);
  others.resize(MaxRelayedBriefs);
  return others;
}

template <typename Message>
void fillBriefMessage(Daemon &daemon, const VmId &receiver, Message &out) {
  MonoTime now = monoNow();
  VmViews vms = knownVms(daemon);
  for (const VmView &it : *vms)
    if (it.Name == daemon.Conf.Vm)
      fillBrief(it, now, true, *out.mutable_self());
  for (const VmView *it : chooseBriefs(daemon, receiver, *vms, now))
    fillBrief(*it, now, vms->size() <= SmallFleetSize, *out.add_briefs());
  out.set_revisions_hash(revisionsHash(daemon));
  fillEvidence(daemon, *out.mutable_evidence());
}

/// \returns whether the held revisions changed within RevisionSendTime.
bool shouldSendRevisions(Daemon &daemon, std::uint64_t hash) {
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  MonoTime now = monoNow();
  if (daemon.Peers.LastRevisionsHash != hash) {
    daemon.Peers.LastRevisionsHash = hash;
    daemon.Peers.RevisionsChangedAt = now;
  }
  return now - daemon.Peers.RevisionsChangedAt <= RevisionSendTime;
}

} // namespace

void fillRevisions(
    Daemon &daemon,
    google::protobuf::RepeatedPtrField<peer::DocumentRevision> &out) {
  for (const auto &[key, revision] : heldRevisions(daemon)) {
    peer::DocumentRevision &it = *out.Add();
    it.set_key(key);
    it.set_revision(static_cast<std::uint64_t>(revision.Value));
  }
}

std::uint64_t revisionsHash(Daemon &daemon) {
  std::uint64_t hash = stableHash("revisions");
  for (const auto &[key, revision] : heldRevisions(daemon))
    hash = stableHash(key + "/" + std::to_string(revision.Value), hash);
  return hash;
}

void fillFullHeartbeat(Daemon &daemon, const VmId &receiver,
                       peer::HeartbeatRequest &out) {
  fillSelf(daemon, *out.mutable_sender());
  fillRevisions(daemon, *out.mutable_revisions());
  fillEvidence(daemon, *out.mutable_evidence());
  fillOthers(daemon, receiver, *out.mutable_others());
}

void fillFullHeartbeat(Daemon &daemon, const VmId &receiver,
                       peer::HeartbeatReply &out) {
  fillSelf(daemon, *out.mutable_receiver());
  fillRevisions(daemon, *out.mutable_revisions());
  fillEvidence(daemon, *out.mutable_evidence());
  fillOthers(daemon, receiver, *out.mutable_others());
}

void fillBriefHeartbeat(Daemon &daemon, const VmId &receiver,
                        peer::HeartbeatRequest &out) {
  fillBriefMessage(daemon, receiver, out);
  if (shouldSendRevisions(daemon, out.revisions_hash()))
    fillRevisions(daemon, *out.mutable_revisions());
}

void fillBriefHeartbeat(Daemon &daemon, const VmId &receiver,
                        peer::HeartbeatReply &out) {
  fillBriefMessage(daemon, receiver, out);
}

void fillRequestedStates(Daemon &daemon, const peer::HeartbeatRequest &request,
                         peer::HeartbeatReply &out) {
  MonoTime now = monoNow();
  VmViews vms = knownVms(daemon);
  for (const VmView &it : *vms)
    for (std::uint32_t id : request.wanted())
      if (it.BriefId == id)
        fillView(it, now, *out.add_others());
}

} // namespace savorylb
