#include "ledger_shards.h"

#include "daemon.h"
#include "peer_calls.h"
#include "peer_messages.h"
#include "savorylb/clock.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Where entries must be copied before a request may run.
struct ReplicaTargets {
  /// False while the named successor has no complete copy yet.
  bool Ready = false;
  std::vector<PeerAddress> Peers;
};

ReplicaTargets replicaTargets(Daemon &daemon) {
  ReplicaTargets targets;
  VmId successor;
  Incarnation life;
  std::string endpoint;
  bool dead = false;
  {
    MembershipState &state = daemon.Membership;
    std::lock_guard<std::mutex> guard(state.Lock);
    auto self = state.Doc.Members.find(daemon.Conf.Vm);
    if (self == state.Doc.Members.end())
      return targets;
    successor = self->second.Successor;
    life = self->second.SuccessorIncarnation;
    dead = state.OwnLease.SuccessorDead;
    auto it = state.Doc.Members.find(successor);
    if (it != state.Doc.Members.end())
      endpoint = it->second.PeerEndpoint;
  }
  std::lock_guard<std::mutex> guard(daemon.Ledger.Lock);
  LedgerShards &ledger = daemon.Ledger;
  // Without a live successor nobody holds a copy, and whoever takes over puts
  // the partitions in quarantine.
  bool alone = successor.empty() || dead;
  targets.Ready =
      alone || (ledger.SyncedWith == successor && ledger.SyncedLife == life);
  if (!alone)
    targets.Peers.push_back({successor, endpoint});
  if (!ledger.SyncingWith.empty() && (alone || ledger.SyncingWith != successor))
    targets.Peers.push_back({ledger.SyncingWith, ledger.SyncingEndpoint});
  return targets;
}

bool replicate(Daemon &daemon, int partition, const OnceEntry &entry,
               bool removed) {
  ReplicaTargets targets = replicaTargets(daemon);
  if (!targets.Ready)
    return false;
  for (const PeerAddress &it : targets.Peers)
    if (!callReplicate(daemon, it, partition, entry, removed))
      return false;
  return true;
}

LedgerShard &shardOf(Daemon &daemon, int partition) {
  return daemon.Ledger.Partitions[static_cast<std::size_t>(partition)];
}

OnceEntry copyEntry(LedgerShard &shard, const RequestId &identity) {
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.Own.Entries.find(identity);
  return it == shard.Own.Entries.end() ? OnceEntry{} : it->second;
}

void cancelHere(LedgerShard &shard, const RequestId &identity,
                std::uint64_t number) {
  std::lock_guard<std::mutex> guard(shard.Lock);
  cancelOnce(shard.Own, identity, number);
}

/// The highest revision of the owner map that an identity may claim to have
/// been made under.
std::int64_t currentRevision(Daemon &daemon) {
  std::lock_guard<std::mutex> guard(daemon.Membership.Lock);
  return daemon.Membership.Doc.Rev.Value;
}

constexpr int EntriesPerMessage = 200;

/// Sends the own entries of one partition in several messages.
bool sendEntries(Daemon &daemon, int partition, const PeerAddress &peer,
                 bool replica, bool last) {
  std::vector<OnceEntry> entries;
  LedgerShard &shard = shardOf(daemon, partition);
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    for (const auto &[identity, entry] : shard.Own.Entries)
      entries.push_back(entry);
  }
  std::size_t sent = 0;
  do {
    peer::TransferPartitionRequest request;
    request.set_zone(daemon.Conf.Zone.Value);
    request.set_partition(static_cast<std::uint32_t>(partition));
    request.set_giver(daemon.Conf.Vm.Value);
    request.set_giver_incarnation(daemon.Life.Value);
    request.set_replica(replica);
    MonoTime now = monoNow();
    for (int n = 0; n < EntriesPerMessage && sent < entries.size(); ++n)
      fillEntry(entries[sent++], now, *request.add_entries());
    request.set_last(last && sent == entries.size());
    if (!callTransfer(daemon, peer, request))
      return false;
  } while (sent < entries.size());
  return true;
}

/// Takes the entries of a partition that this VM has just been given.
void adoptPartition(Daemon &daemon, int partition, const VmId &previous,
                    std::int64_t quarantinedAt) {
  LedgerShard &shard = shardOf(daemon, partition);
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto incoming = shard.Incoming.find(previous);
  auto replica = shard.Replicas.find(previous);
  if (replica != shard.Replicas.end())
    for (const auto &[identity, entry] : replica->second.Entries)
      mergeOnce(shard.Own, entry);
  if (incoming != shard.Incoming.end())
    for (const auto &[identity, entry] : incoming->second.Entries)
      mergeOnce(shard.Own, entry);
  shard.Incoming.clear();
  promoteReplica(shard.Own, quarantinedAt == 0, daemon.Conf.IdentityRetention,
                 monoNow());
  shard.Own.QuarantineRevision = quarantinedAt;
}

} // namespace

BeginResult beginAtHome(Daemon &daemon, const OnceQuery &query) {
  BeginResult result;
  std::int64_t revision = currentRevision(daemon);
  LedgerShard &shard = shardOf(daemon, query.Partition);
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    // Entries of a lost partition are dropped under the shard's lock, so only
    // under it does being home mean that they are complete.
    if (!isHomeOf(daemon, query.Partition)) {
      result.Verdict = OnceVerdict::NotHome;
      return result;
    }
    MonoTime now = monoNow();
    result = beginOnce(shard.Own, query.Identity, query.Digest, query.Team,
                       now + query.Remaining, now, revision);
  }
  if (result.Verdict != OnceVerdict::Go)
    return result;
  OnceEntry entry = copyEntry(shard, query.Identity);
  // The lease is checked again after the copy: a successor that took over in
  // the meantime would not know of a request that is let through now.
  if (!replicate(daemon, query.Partition, entry, false) ||
      !isHomeOf(daemon, query.Partition)) {
    cancelHere(shard, query.Identity, result.Number);
    result.Verdict = OnceVerdict::Refused;
  }
  return result;
}

bool finishAtHome(Daemon &daemon, const RequestId &identity, int partition,
                  std::uint64_t number, const std::string &outcome,
                  StoredAnswer answer) {
  LedgerShard &shard = shardOf(daemon, partition);
  OnceEntry entry = copyEntry(shard, identity);
  bool removed = outcome == "not_run";
  bool changed = false;
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    OnceState state = outcome == "done" ? OnceState::Done : OnceState::Unknown;
    changed = removed ? cancelOnce(shard.Own, identity, number)
                      : finishOnce(shard.Own, identity, number, state,
                                   std::move(answer));
  }
  if (!changed)
    return false;
  if (!removed)
    entry = copyEntry(shard, identity);
  // A lost copy leaves the successor with an entry that becomes unknown.
  replicate(daemon, partition, entry, removed);
  return true;
}

void storeReplica(Daemon &daemon, const VmId &holder, int partition,
                  const OnceEntry &entry, bool removed) {
  LedgerShard &shard = shardOf(daemon, partition);
  std::lock_guard<std::mutex> guard(shard.Lock);
  OncePartition &replica = shard.Replicas[holder];
  if (removed)
    cancelOnce(replica, entry.Identity, entry.Number);
  else
    mergeOnce(replica, entry);
}

bool syncReplica(Daemon &daemon, const VmId &successor, const Incarnation &life,
                 const std::string &endpoint) {
  LedgerShards &ledger = daemon.Ledger;
  {
    std::lock_guard<std::mutex> guard(ledger.Lock);
    ledger.SyncingWith = successor;
    ledger.SyncingEndpoint = endpoint;
  }
  bool complete = true;
  PeerAddress peer{successor, endpoint};
  for (int p = 0; p < PartitionCount && complete; ++p)
    complete = sendEntries(daemon, p, peer, true, p == PartitionCount - 1);
  std::lock_guard<std::mutex> guard(ledger.Lock);
  if (complete) {
    ledger.SyncedWith = successor;
    ledger.SyncedLife = life;
  } else {
    ledger.SyncingWith = VmId();
  }
  return complete;
}

void ensureReplica(Daemon &daemon) {
  VmId successor;
  Incarnation life;
  std::string endpoint;
  {
    MembershipState &state = daemon.Membership;
    std::lock_guard<std::mutex> guard(state.Lock);
    auto self = state.Doc.Members.find(daemon.Conf.Vm);
    if (self == state.Doc.Members.end() ||
        self->second.VmIncarnation != daemon.Life ||
        state.OwnLease.SuccessorDead)
      return;
    successor = self->second.Successor;
    life = self->second.SuccessorIncarnation;
    auto it = state.Doc.Members.find(successor);
    if (it != state.Doc.Members.end())
      endpoint = it->second.PeerEndpoint;
  }
  if (successor.empty() || endpoint.empty())
    return;
  {
    std::lock_guard<std::mutex> guard(daemon.Ledger.Lock);
    if (daemon.Ledger.SyncedWith == successor &&
        daemon.Ledger.SyncedLife == life)
      return;
  }
  if (!syncReplica(daemon, successor, life, endpoint))
    return;
  std::lock_guard<std::mutex> guard(daemon.Ledger.Lock);
  daemon.Ledger.SyncingWith = VmId();
}

bool sendPartition(Daemon &daemon, int partition, const std::string &endpoint) {
  return sendEntries(daemon, partition, {VmId(), endpoint}, false, true);
}

void adoptPartitions(Daemon &daemon, const ZoneDocument &doc,
                     const ZoneDocument &previous) {
  std::vector<int> before =
      ownedPartitions(previous, daemon.Conf.Vm, daemon.Life);
  for (int p : ownedPartitions(doc, daemon.Conf.Vm, daemon.Life)) {
    if (std::find(before.begin(), before.end(), p) != before.end())
      continue;
    auto index = static_cast<std::size_t>(p);
    std::int64_t quarantinedAt =
        index < doc.QuarantinedAt.size() ? doc.QuarantinedAt[index] : 0;
    VmId owner = index < previous.Partitions.size() ? previous.Partitions[index]
                                                    : VmId();
    adoptPartition(daemon, p, owner, quarantinedAt);
  }
}

void applyPartitions(Daemon &daemon, const std::set<int> &before,
                     const ZoneDocument &doc) {
  for (int p : ownedPartitions(doc, daemon.Conf.Vm, daemon.Life)) {
    auto index = static_cast<std::size_t>(p);
    if (before.count(p) == 0 ||
        (index < doc.QuarantinedAt.size() && doc.QuarantinedAt[index] != 0))
      continue;
    LedgerShard &shard = shardOf(daemon, p);
    std::lock_guard<std::mutex> guard(shard.Lock);
    shard.Own.QuarantineRevision = 0;
  }
  std::vector<int> now = ownedPartitions(doc, daemon.Conf.Vm, daemon.Life);
  for (int p : before) {
    if (std::find(now.begin(), now.end(), p) != now.end())
      continue;
    LedgerShard &shard = shardOf(daemon, p);
    std::lock_guard<std::mutex> guard(shard.Lock);
    shard.Own = OncePartition{};
  }
  std::lock_guard<std::mutex> guard(daemon.Ledger.Lock);
  auto self = doc.Members.find(daemon.Conf.Vm);
  if (self != doc.Members.end() &&
      self->second.Successor == daemon.Ledger.SyncingWith)
    daemon.Ledger.SyncingWith = VmId();
}

void tickLedger(Daemon &daemon) {
  MonoTime now = monoNow();
  std::set<int> over;
  for (int p = 0; p < PartitionCount; ++p) {
    LedgerShard &shard = shardOf(daemon, p);
    std::lock_guard<std::mutex> guard(shard.Lock);
    if (shard.Own.QuarantineRevision > 0 && now >= shard.Own.QuarantinedUntil)
      over.insert(p);
    expireOnce(shard.Own, daemon.Conf.IdentityRetention, now);
    for (auto &[holder, replica] : shard.Replicas)
      expireOnce(replica, daemon.Conf.IdentityRetention, now);
  }
  std::lock_guard<std::mutex> guard(daemon.Ledger.Lock);
  daemon.Ledger.QuarantineOver = std::move(over);
}

} // namespace savorylb
