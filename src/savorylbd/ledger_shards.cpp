#include "ledger_shards.h"

#include "daemon.h"
#include "peer_calls.h"
#include "peer_messages.h"
#include "savorylb/clock.h"

#include <algorithm>

namespace savorylb {
namespace {

/// The VMs to which an entry must be replicated before its request may run.
struct ReplicaPeers {
  /// False while the named successor has no complete replica yet, or when this
  /// VM is no member.
  bool Ready = false;
  std::vector<PeerAddress> Peers;
};

ReplicaPeers replicaPeers(Daemon &daemon) {
  ReplicaPeers replicas;
  VmId successor;
  Incarnation incarnation;
  std::string endpoint;
  bool successorDead = false;
  {
    MembershipState &state = daemon.Membership;
    std::lock_guard<std::mutex> guard(state.Lock);
    auto self = state.Doc.Members.find(daemon.Conf.Vm);
    if (self == state.Doc.Members.end())
      return replicas;
    successor = self->second.Successor;
    incarnation = self->second.SuccessorIncarnation;
    successorDead = state.OwnLease.SuccessorDead;
    auto it = state.Doc.Members.find(successor);
    if (it != state.Doc.Members.end())
      endpoint = it->second.PeerEndpoint;
  }
  std::lock_guard<std::mutex> guard(daemon.Ledger.Lock);
  LedgerShards &ledger = daemon.Ledger;
  // Without a live successor there is no replica, and a VM that takes over
  // quarantines the partitions.
  bool noSuccessor = successor.empty() || successorDead;
  replicas.Ready = noSuccessor || (ledger.SyncedWith == successor &&
                                   ledger.SyncedIncarnation == incarnation);
  if (!noSuccessor)
    replicas.Peers.push_back({successor, endpoint});
  if (!ledger.SyncingWith.empty() &&
      (noSuccessor || ledger.SyncingWith != successor))
    replicas.Peers.push_back({ledger.SyncingWith, ledger.SyncingEndpoint});
  return replicas;
}

bool replicate(Daemon &daemon, int partition, const OnceEntry &entry,
               bool removed) {
  ReplicaPeers replicas = replicaPeers(daemon);
  if (!replicas.Ready)
    return false;
  for (const PeerAddress &it : replicas.Peers)
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

void cancelEntry(LedgerShard &shard, const RequestId &identity,
                 std::uint64_t number) {
  std::lock_guard<std::mutex> guard(shard.Lock);
  cancelOnce(shard.Own, identity, number);
}

/// \returns the revision of the owner map; an identity whose prefix names a
/// higher one is not trusted to be new.
std::int64_t currentRevision(Daemon &daemon) {
  std::lock_guard<std::mutex> guard(daemon.Membership.Lock);
  return daemon.Membership.Doc.Rev.Value;
}

constexpr int EntriesPerMessage = 200;

/// Sends the own entries of one partition in one or more messages.
/// \param replica whether the receiver stores a replica; otherwise the
/// partition is handed off to it.
/// \param last whether this is the last partition of the transfer.
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
    request.set_giver_incarnation(daemon.SelfIncarnation.Value);
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

/// Merges the replicated and transferred entries of a partition that this VM
/// has just been assigned.
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
    // The entries of a lost partition are dropped under the shard's lock, so
    // they are known to be complete only if this VM is still the home under
    // that lock.
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
  // The lease is checked again after the replication: a successor that took
  // over in the meantime would not know of a request that is allowed to run
  // now.
  if (!replicate(daemon, query.Partition, entry, false) ||
      !isHomeOf(daemon, query.Partition)) {
    cancelEntry(shard, query.Identity, result.Number);
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
  // If the replication fails, the successor's entry becomes Unknown at its
  // deadline.
  replicate(daemon, partition, entry, removed);
  return true;
}

void storeReplica(Daemon &daemon, const VmId &owner, int partition,
                  const OnceEntry &entry, bool removed) {
  LedgerShard &shard = shardOf(daemon, partition);
  std::lock_guard<std::mutex> guard(shard.Lock);
  OncePartition &replica = shard.Replicas[owner];
  if (removed)
    cancelOnce(replica, entry.Identity, entry.Number);
  else
    mergeOnce(replica, entry);
}

bool syncReplica(Daemon &daemon, const VmId &successor,
                 const Incarnation &incarnation, const std::string &endpoint) {
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
    ledger.SyncedIncarnation = incarnation;
  } else {
    ledger.SyncingWith = VmId();
  }
  return complete;
}

void ensureReplica(Daemon &daemon) {
  VmId successor;
  Incarnation incarnation;
  std::string endpoint;
  {
    MembershipState &state = daemon.Membership;
    std::lock_guard<std::mutex> guard(state.Lock);
    auto self = state.Doc.Members.find(daemon.Conf.Vm);
    if (self == state.Doc.Members.end() ||
        self->second.VmIncarnation != daemon.SelfIncarnation ||
        state.OwnLease.SuccessorDead)
      return;
    successor = self->second.Successor;
    incarnation = self->second.SuccessorIncarnation;
    auto it = state.Doc.Members.find(successor);
    if (it != state.Doc.Members.end())
      endpoint = it->second.PeerEndpoint;
  }
  if (successor.empty() || endpoint.empty())
    return;
  {
    std::lock_guard<std::mutex> guard(daemon.Ledger.Lock);
    if (daemon.Ledger.SyncedWith == successor &&
        daemon.Ledger.SyncedIncarnation == incarnation)
      return;
  }
  if (!syncReplica(daemon, successor, incarnation, endpoint))
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
      ownedPartitions(previous, daemon.Conf.Vm, daemon.SelfIncarnation);
  for (int p : ownedPartitions(doc, daemon.Conf.Vm, daemon.SelfIncarnation)) {
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
  for (int p : ownedPartitions(doc, daemon.Conf.Vm, daemon.SelfIncarnation)) {
    auto index = static_cast<std::size_t>(p);
    if (before.count(p) == 0 ||
        (index < doc.QuarantinedAt.size() && doc.QuarantinedAt[index] != 0))
      continue;
    LedgerShard &shard = shardOf(daemon, p);
    std::lock_guard<std::mutex> guard(shard.Lock);
    shard.Own.QuarantineRevision = 0;
  }
  std::vector<int> now =
      ownedPartitions(doc, daemon.Conf.Vm, daemon.SelfIncarnation);
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
  std::set<int> expired;
  for (int p = 0; p < PartitionCount; ++p) {
    LedgerShard &shard = shardOf(daemon, p);
    std::lock_guard<std::mutex> guard(shard.Lock);
    if (shard.Own.QuarantineRevision > 0 && now >= shard.Own.QuarantinedUntil)
      expired.insert(p);
    expireOnce(shard.Own, daemon.Conf.IdentityRetention, now);
    for (auto &[owner, replica] : shard.Replicas)
      expireOnce(replica, daemon.Conf.IdentityRetention, now);
  }
  std::lock_guard<std::mutex> guard(daemon.Ledger.Lock);
  daemon.Ledger.QuarantineEnded = std::move(expired);
}

} // namespace savorylb
