// Ledgers of the VMs: replication to successors, handoffs and takeovers, as in
// the daemon's ledger_shards.cpp.

#include "once_simulation.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace savorylb::replay {
namespace {

constexpr Duration ReplicationTimeout = Millis(300);

using Peer = std::pair<VmId, Incarnation>;

/// Converts the times of an entry to the receiver's clock. The daemon sends
/// them as ages, since the clocks of VMs differ.
OnceEntry convertTimes(const OnceSimulation &sim, OnceEntry entry,
                       const SimulatedVm &from, const SimulatedVm &to) {
  Duration shift = clockOf(sim.Fleet, to) - clockOf(sim.Fleet, from);
  entry.BegunAt += shift;
  entry.Deadline += shift;
  return entry;
}

/// Copies all entries of a VM's own partitions to a peer, which then holds a
/// complete replica.
/// \returns false when the peer's incarnation is not running.
bool syncReplica(OnceSimulation &sim, SimulatedVm &vm, const Peer &peer) {
  SimulatedVm &to = vmOf(sim.Fleet, peer.first);
  if (!isRunning(sim.Fleet, to) || to.incarnation() != peer.second)
    return false;
  for (const auto &[partition, own] : sim.Ledgers[vm.Name].OwnPartitions)
    for (const auto &[identity, entry] : own.Entries)
      mergeOnce(sim.Ledgers[to.Name].Replicas[vm.Name][partition],
                convertTimes(sim, entry, vm, to));
  sim.Ledgers[to.Name].CompleteReplicas[vm.Name] = vm.incarnation();
  return true;
}

/// Sends the entries of released partitions to their next owners.
/// \returns false when a VM that must receive them is not running.
bool transferPartitions(OnceSimulation &sim, SimulatedVm &vm,
                        const OwnershipPlan &plan) {
  for (int partition : plan.ReleasedPartitions) {
    VmId receiver = plan.Next.Partitions[static_cast<std::size_t>(partition)];
    if (receiver.empty())
      continue;
    SimulatedVm &to = vmOf(sim.Fleet, receiver);
    if (!isRunning(sim.Fleet, to))
      return false;
    // The receiver's successor must hold the entries too.
    SimulatedVm *next =
        to.OwnLease.Successor.empty() || to.OwnLease.SuccessorDead
            ? nullptr
            : &vmOf(sim.Fleet, to.OwnLease.Successor);
    if (next != nullptr && !isRunning(sim.Fleet, *next))
      return false;
    for (const auto &[identity, entry] :
         sim.Ledgers[vm.Name].OwnPartitions[partition].Entries) {
      mergeOnce(sim.Ledgers[receiver].Incoming[vm.Name][partition],
                convertTimes(sim, entry, vm, to));
      if (next != nullptr)
        mergeOnce(sim.Ledgers[next->Name].Replicas[receiver][partition],
                  convertTimes(sim, entry, vm, *next));
    }
  }
  return true;
}

bool prepareWrite(OnceSimulation &sim, SimulatedVm &vm,
                  const OwnershipPlan &plan) {
  if (plan.Step != OwnershipStep::NameSuccessor)
    return transferPartitions(sim, vm, plan);
  VmLedger &ledger = sim.Ledgers[vm.Name];
  ledger.SyncingWith = {plan.AffectedVm,
                        plan.Next.Members.at(plan.AffectedVm).VmIncarnation};
  if (!syncReplica(sim, vm, ledger.SyncingWith))
    return false;
  ledger.SyncedWith = ledger.SyncingWith;
  return true;
}

/// Makes a VM the home of a partition, with the entries it received as replica
/// or for a handoff.
/// \param previous the owner before; empty if none.
/// \param quarantinedAt revision of the owner map at which entries may have
/// been lost; 0 if none were.
void adoptPartition(OnceSimulation &sim, SimulatedVm &vm, int partition,
                    const VmId &previous, std::int64_t quarantinedAt) {
  VmLedger &ledger = sim.Ledgers[vm.Name];
  OncePartition &own = ledger.OwnPartitions[partition];
  for (auto *copies : {&ledger.Replicas, &ledger.Incoming})
    for (const auto &[identity, entry] : (*copies)[previous][partition].Entries)
      mergeOnce(own, entry);
  for (auto &[sender, partitions] : ledger.Incoming)
    partitions.erase(partition);
  promoteReplica(own, quarantinedAt == 0, sim.Retention,
                 clockOf(sim.Fleet, vm));
  own.QuarantineRevision = quarantinedAt;
}

/// Updates the ledger to an adopted owner map.
void applyDocument(OnceSimulation &sim, SimulatedVm &vm,
                   const ZoneDocument &previous) {
  VmLedger &ledger = sim.Ledgers[vm.Name];
  auto before = ownedPartitions(previous, vm.Name, vm.incarnation());
  auto now = ownedPartitions(vm.Doc, vm.Name, vm.incarnation());
  for (int it : now) {
    auto index = static_cast<std::size_t>(it);
    if (std::find(before.begin(), before.end(), it) == before.end())
      adoptPartition(sim, vm, it,
                     index < previous.Partitions.size()
                         ? previous.Partitions[index]
                         : VmId(),
                     vm.Doc.QuarantinedAt[index]);
    else if (vm.Doc.QuarantinedAt[index] == 0)
      ledger.OwnPartitions[it].QuarantineRevision = 0;
  }
  for (int it : before)
    if (std::find(now.begin(), now.end(), it) == now.end())
      ledger.OwnPartitions.erase(it);
  Peer successor{vm.OwnLease.Successor, vm.OwnLease.SuccessorIncarnation};
  if (successor == ledger.SyncingWith)
    ledger.SyncingWith = {};
  if (!successor.first.empty() && !vm.OwnLease.SuccessorDead &&
      successor != ledger.SyncedWith && syncReplica(sim, vm, successor))
    ledger.SyncedWith = successor;
}

void extendView(OnceSimulation &sim, SimulatedVm &vm, OwnershipView &view) {
  const VmLedger &ledger = sim.Ledgers[vm.Name];
  for (const auto &[owner, incarnation] : ledger.CompleteReplicas) {
    auto it = view.Doc.Members.find(owner);
    if (it != view.Doc.Members.end() && it->second.VmIncarnation == incarnation)
      view.CompleteReplicas.insert(owner);
  }
  MonoTime now = clockOf(sim.Fleet, vm);
  for (const auto &[partition, own] : ledger.OwnPartitions)
    if (own.QuarantineRevision > 0 && now >= own.QuarantinedUntil)
      view.QuarantineEnded.insert(partition);
}

bool isHome(OnceSimulation &sim, SimulatedVm &vm, int partition) {
  if (!mayUseOwned(sim.Fleet, vm))
    return false;
  auto owned = usablePartitions(vm.Pending, vm.Doc, vm.Name, vm.incarnation());
  return std::find(owned.begin(), owned.end(), partition) != owned.end();
}

/// \returns the peers that must store an entry before its request may run, or
/// nothing while the named successor has no complete replica. While a candidate
/// that already has a complete replica is being named successor, SyncedWith
/// names the candidate; entries then go to both VMs.
std::optional<std::vector<Peer>> replicaPeers(OnceSimulation &sim,
                                              SimulatedVm &vm) {
  const VmLedger &ledger = sim.Ledgers[vm.Name];
  Peer successor{vm.OwnLease.Successor, vm.OwnLease.SuccessorIncarnation};
  bool noSuccessor = successor.first.empty() || vm.OwnLease.SuccessorDead;
  if (!noSuccessor && ledger.SyncedWith != successor &&
      ledger.SyncingWith != ledger.SyncedWith)
    return std::nullopt;
  std::vector<Peer> peers;
  if (!noSuccessor)
    peers.push_back(successor);
  if (!ledger.SyncingWith.first.empty() && ledger.SyncingWith != successor)
    peers.push_back(ledger.SyncingWith);
  return peers;
}

/// Stores a replicated entry. A successor that has begun to take over from a VM
/// stores no more entries of it.
/// \param owner the VM that owns the partition.
/// \param missing number of peers that have not stored the entry yet.
void storeReplica(OnceSimulation &sim, SimulatedVm &vm,
                  const SimulatedVm &owner, const Incarnation &incarnation,
                  int partition, const OnceEntry &entry, bool removed,
                  const std::shared_ptr<int> &missing) {
  auto member = vm.Doc.Members.find(owner.Name);
  if (member == vm.Doc.Members.end() ||
      member->second.VmIncarnation != incarnation ||
      vm.Grants.TakingOver.count({owner.Name, incarnation}) != 0)
    return;
  OncePartition &copy = sim.Ledgers[vm.Name].Replicas[owner.Name][partition];
  if (removed)
    cancelOnce(copy, entry.Identity, entry.Number);
  else
    mergeOnce(copy, entry);
  --*missing;
}

/// Sends an entry to all peers that must store it.
/// \param removed whether the entry is removed instead of stored.
/// \param done called with true after all of them stored it, or with false when
/// one has not within ReplicationTimeout.
void replicate(OnceSimulation &sim, SimulatedVm &vm, int partition,
               const OnceEntry &entry, bool removed,
               const std::function<void(bool)> &done) {
  auto peers = replicaPeers(sim, vm);
  if (!peers)
    return done(false);
  auto missing = std::make_shared<int>(static_cast<int>(peers->size()));
  auto answered = std::make_shared<bool>(false);
  auto finish = [=](bool stored) {
    if (!*answered && (stored || *missing > 0))
      done(stored);
    *answered = *answered || stored || *missing > 0;
  };
  if (peers->empty())
    return finish(true);
  int startCount = vm.StartCount;
  for (const Peer &it : *peers) {
    SimulatedVm &to = vmOf(sim.Fleet, it.first);
    sendMessage(
        sim.Fleet, vm, to, [=, &sim, &vm, &to, incarnation = vm.incarnation()] {
          if (to.incarnation() != it.second)
            return;
          storeReplica(sim, to, vm, incarnation, partition,
                       convertTimes(sim, entry, vm, to), removed, missing);
          if (*missing == 0 && vm.StartCount == startCount)
            sendMessage(sim.Fleet, to, vm, [finish] { finish(true); });
        });
  }
  sim.Fleet.Clock.after(ReplicationTimeout, [=, &sim, &vm] {
    runInVm(sim.Fleet, vm, startCount, [finish, missing] {
      if (*missing > 0)
        finish(false);
    });
  });
}

} // namespace

void beginAtHome(OnceSimulation &sim, SimulatedVm &home, int partition,
                 const RequestId &identity, Duration remaining,
                 const std::function<void(const BeginResult &)> &answer) {
  BeginResult result;
  result.Verdict = OnceVerdict::NotHome;
  if (!isHome(sim, home, partition))
    return answer(result);
  MonoTime now = clockOf(sim.Fleet, home);
  OncePartition &own = sim.Ledgers[home.Name].OwnPartitions[partition];
  result = beginOnce(own, identity, "digest", TeamId("team"), now + remaining,
                     now, home.Doc.Rev.Value);
  if (result.Verdict != OnceVerdict::Go)
    return answer(result);
  replicate(sim, home, partition, own.Entries.at(identity), false,
            [=, &sim, &home](bool stored) {
              BeginResult out = result;
              // A successor that took over meanwhile does not have the entry.
              if (!stored || !isHome(sim, home, partition)) {
                cancelOnce(sim.Ledgers[home.Name].OwnPartitions[partition],
                           identity, result.Number);
                out.Verdict = OnceVerdict::Refused;
              }
              answer(out);
            });
}

void finishAtHome(OnceSimulation &sim, SimulatedVm &home, int partition,
                  const RequestId &identity, std::uint64_t number,
                  OnceState state, const std::string &body) {
  OncePartition &own = sim.Ledgers[home.Name].OwnPartitions[partition];
  StoredAnswer answer;
  answer.Status = 200;
  answer.Body = body;
  if (finishOnce(own, identity, number, state, answer))
    replicate(sim, home, partition, own.Entries.at(identity), false,
              [](bool) {});
}

void attachLedgers(OnceSimulation &sim) {
  sim.Fleet.OnVmStart = [&sim](SimulatedVm &vm) {
    sim.Ledgers[vm.Name] = VmLedger();
  };
  sim.Fleet.OnOwnershipChange = [&sim](SimulatedVm &vm,
                                       const ZoneDocument &previous) {
    applyDocument(sim, vm, previous);
  };
  sim.Fleet.ExtendView = [&sim](SimulatedVm &vm, OwnershipView &view) {
    extendView(sim, vm, view);
  };
  sim.Fleet.PrepareWrite = [&sim](SimulatedVm &vm, const OwnershipPlan &plan) {
    return prepareWrite(sim, vm, plan);
  };
}

} // namespace savorylb::replay
