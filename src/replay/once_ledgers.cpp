// Ledgers of the VMs: copies at successors, handoffs and takeovers, as in the
// daemon's ledger_shards.cpp.

#include "once_world.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace savorylb::replay {
namespace {

constexpr Duration ReplicaPatience = Millis(300);

using Peer = std::pair<VmId, Incarnation>;

/// Times go from VM to VM as ages, since their clocks differ.
OnceEntry moveTimes(const OnceWorld &world, OnceEntry entry,
                    const ReplayVm &from, const ReplayVm &to) {
  Duration shift = clockOf(world.Vms, to) - clockOf(world.Vms, from);
  entry.BegunAt += shift;
  entry.Deadline += shift;
  return entry;
}

/// Copies all own entries to a peer, which then has a complete replica.
bool syncReplica(OnceWorld &world, ReplayVm &vm, const Peer &peer) {
  ReplayVm &to = vmOf(world.Vms, peer.first);
  if (!isRunning(world.Vms, to) || to.life() != peer.second)
    return false;
  for (const auto &[partition, own] : world.Ledgers[vm.Name].Own)
    for (const auto &[identity, entry] : own.Entries)
      mergeOnce(world.Ledgers[to.Name].Replicas[vm.Name][partition],
                moveTimes(world, entry, vm, to));
  world.Ledgers[to.Name].CompleteReplicas[vm.Name] = vm.life();
  return true;
}

bool sendPartitions(OnceWorld &world, ReplayVm &vm, const OwnershipPlan &plan) {
  for (int partition : plan.ReleasedPartitions) {
    VmId receiver = plan.Next.Partitions[static_cast<std::size_t>(partition)];
    if (receiver.empty())
      continue;
    ReplayVm &to = vmOf(world.Vms, receiver);
    if (!isRunning(world.Vms, to))
      return false;
    // The receiver's successor has to have the entries too.
    ReplayVm *next = to.Own.Successor.empty() || to.Own.SuccessorDead
                         ? nullptr
                         : &vmOf(world.Vms, to.Own.Successor);
    if (next != nullptr && !isRunning(world.Vms, *next))
      return false;
    for (const auto &[identity, entry] :
         world.Ledgers[vm.Name].Own[partition].Entries) {
      mergeOnce(world.Ledgers[receiver].Incoming[vm.Name][partition],
                moveTimes(world, entry, vm, to));
      if (next != nullptr)
        mergeOnce(world.Ledgers[next->Name].Replicas[receiver][partition],
                  moveTimes(world, entry, vm, *next));
    }
  }
  return true;
}

bool prepare(OnceWorld &world, ReplayVm &vm, const OwnershipPlan &plan) {
  if (plan.Step != OwnershipStep::NameSuccessor)
    return sendPartitions(world, vm, plan);
  OnceVm &ledger = world.Ledgers[vm.Name];
  ledger.SyncingWith = {plan.AffectedVm,
                        plan.Next.Members.at(plan.AffectedVm).VmIncarnation};
  if (!syncReplica(world, vm, ledger.SyncingWith))
    return false;
  ledger.SyncedWith = ledger.SyncingWith;
  return true;
}

void adopt(OnceWorld &world, ReplayVm &vm, int partition, const VmId &previous,
           std::int64_t quarantinedAt) {
  OnceVm &ledger = world.Ledgers[vm.Name];
  OncePartition &own = ledger.Own[partition];
  for (auto *copies : {&ledger.Replicas, &ledger.Incoming})
    for (const auto &[identity, entry] : (*copies)[previous][partition].Entries)
      mergeOnce(own, entry);
  for (auto &[giver, partitions] : ledger.Incoming)
    partitions.erase(partition);
  promoteReplica(own, quarantinedAt == 0, world.Retention,
                 clockOf(world.Vms, vm));
  own.QuarantineRevision = quarantinedAt;
}

void applyDocument(OnceWorld &world, ReplayVm &vm,
                   const ZoneDocument &previous) {
  OnceVm &ledger = world.Ledgers[vm.Name];
  auto before = ownedPartitions(previous, vm.Name, vm.life());
  auto now = ownedPartitions(vm.Doc, vm.Name, vm.life());
  for (int it : now) {
    auto index = static_cast<std::size_t>(it);
    if (std::find(before.begin(), before.end(), it) == before.end())
      adopt(world, vm, it,
            index < previous.Partitions.size() ? previous.Partitions[index]
                                               : VmId(),
            vm.Doc.QuarantinedAt[index]);
    else if (vm.Doc.QuarantinedAt[index] == 0)
      ledger.Own[it].QuarantineRevision = 0;
  }
  for (int it : before)
    if (std::find(now.begin(), now.end(), it) == now.end())
      ledger.Own.erase(it);
  Peer successor{vm.Own.Successor, vm.Own.SuccessorIncarnation};
  if (successor == ledger.SyncingWith)
    ledger.SyncingWith = {};
  if (!successor.first.empty() && !vm.Own.SuccessorDead &&
      successor != ledger.SyncedWith && syncReplica(world, vm, successor))
    ledger.SyncedWith = successor;
}

void inform(OnceWorld &world, ReplayVm &vm, OwnershipView &view) {
  const OnceVm &ledger = world.Ledgers[vm.Name];
  for (const auto &[holder, life] : ledger.CompleteReplicas) {
    auto it = view.Doc.Members.find(holder);
    if (it != view.Doc.Members.end() && it->second.VmIncarnation == life)
      view.CompleteReplicas.insert(holder);
  }
  MonoTime now = clockOf(world.Vms, vm);
  for (const auto &[partition, own] : ledger.Own)
    if (own.QuarantineRevision > 0 && now >= own.QuarantinedUntil)
      view.QuarantineEnded.insert(partition);
}

bool isHome(OnceWorld &world, ReplayVm &vm, int partition) {
  if (!mayUseOwned(world.Vms, vm))
    return false;
  auto owned = usablePartitions(vm.Pending, vm.Doc, vm.Name, vm.life());
  return std::find(owned.begin(), owned.end(), partition) != owned.end();
}

/// Peers that must have an entry before its request may run; nothing while the
/// named successor has no complete copy.
std::optional<std::vector<Peer>> replicaPeers(OnceWorld &world, ReplayVm &vm) {
  const OnceVm &ledger = world.Ledgers[vm.Name];
  Peer successor{vm.Own.Successor, vm.Own.SuccessorIncarnation};
  bool alone = successor.first.empty() || vm.Own.SuccessorDead;
  if (!alone && ledger.SyncedWith != successor &&
      ledger.SyncingWith != ledger.SyncedWith)
    return std::nullopt;
  std::vector<Peer> peers;
  if (!alone)
    peers.push_back(successor);
  if (!ledger.SyncingWith.first.empty() && ledger.SyncingWith != successor)
    peers.push_back(ledger.SyncingWith);
  return peers;
}

/// A successor that has begun to take a VM over takes no more copies of it.
void storeCopy(OnceWorld &world, ReplayVm &vm, const ReplayVm &holder,
               const Incarnation &life, int partition, const OnceEntry &entry,
               bool removed, const std::shared_ptr<int> &missing) {
  auto member = vm.Doc.Members.find(holder.Name);
  if (member == vm.Doc.Members.end() || member->second.VmIncarnation != life ||
      vm.Grants.TakingOver.count({holder.Name, life}) != 0)
    return;
  OncePartition &copy = world.Ledgers[vm.Name].Replicas[holder.Name][partition];
  if (removed)
    cancelOnce(copy, entry.Identity, entry.Number);
  else
    mergeOnce(copy, entry);
  --*missing;
}

/// Sends an entry to all who must have it; then tells whether they have it.
void replicate(OnceWorld &world, ReplayVm &vm, int partition,
               const OnceEntry &entry, bool removed,
               const std::function<void(bool)> &done) {
  auto peers = replicaPeers(world, vm);
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
  int lives = vm.Lives;
  for (const Peer &it : *peers) {
    ReplayVm &to = vmOf(world.Vms, it.first);
    sendMessage(world.Vms, vm, to, [=, &world, &vm, &to, life = vm.life()] {
      if (to.life() != it.second)
        return;
      storeCopy(world, to, vm, life, partition, moveTimes(world, entry, vm, to),
                removed, missing);
      if (*missing == 0 && vm.Lives == lives)
        sendMessage(world.Vms, to, vm, [finish] { finish(true); });
    });
  }
  world.Vms.Time.after(ReplicaPatience, [=, &world, &vm] {
    runInVm(world.Vms, vm, lives, [finish, missing] {
      if (*missing > 0)
        finish(false);
    });
  });
}

} // namespace

void beginAtHome(OnceWorld &world, ReplayVm &home, int partition,
                 const RequestId &identity, Duration remaining,
                 const std::function<void(const BeginResult &)> &answer) {
  BeginResult result;
  result.Verdict = OnceVerdict::NotHome;
  if (!isHome(world, home, partition))
    return answer(result);
  MonoTime now = clockOf(world.Vms, home);
  OncePartition &own = world.Ledgers[home.Name].Own[partition];
  result = beginOnce(own, identity, "digest", TeamId("team"), now + remaining,
                     now, home.Doc.Rev.Value);
  if (result.Verdict != OnceVerdict::Go)
    return answer(result);
  replicate(world, home, partition, own.Entries.at(identity), false,
            [=, &world, &home](bool stored) {
              BeginResult out = result;
              // A successor that took over meanwhile would not know of it.
              if (!stored || !isHome(world, home, partition)) {
                cancelOnce(world.Ledgers[home.Name].Own[partition], identity,
                           result.Number);
                out.Verdict = OnceVerdict::Refused;
              }
              answer(out);
            });
}

void finishAtHome(OnceWorld &world, ReplayVm &home, int partition,
                  const RequestId &identity, std::uint64_t number,
                  OnceState state, const std::string &body) {
  OncePartition &own = world.Ledgers[home.Name].Own[partition];
  StoredAnswer answer;
  answer.Status = 200;
  answer.Body = body;
  if (finishOnce(own, identity, number, state, answer))
    replicate(world, home, partition, own.Entries.at(identity), false,
              [](bool) {});
}

void attachLedgers(OnceWorld &world) {
  world.Vms.Started = [&world](ReplayVm &vm) {
    world.Ledgers[vm.Name] = OnceVm();
  };
  world.Vms.Changed = [&world](ReplayVm &vm, const ZoneDocument &previous) {
    applyDocument(world, vm, previous);
  };
  world.Vms.Inform = [&world](ReplayVm &vm, OwnershipView &view) {
    inform(world, vm, view);
  };
  world.Vms.Prepare = [&world](ReplayVm &vm, const OwnershipPlan &plan) {
    return prepare(world, vm, plan);
  };
}

} // namespace savorylb::replay
