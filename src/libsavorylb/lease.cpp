#include "savorylb/lease.h"

#include <algorithm>

namespace savorylb {
namespace {

/// An unset LastTick means that no tick has happened yet.
bool pausedSince(const Lease &lease, MonoTime now, const LeaseTimes &times) {
  return lease.LastTick != MonoTime{} &&
         now - lease.LastTick > times.PauseLimit;
}

void confirmAfterPause(Lease &lease, MonoTime askedAt) {
  if (askedAt >= lease.PauseNoticedAt)
    lease.PausedUnconfirmed = false;
}

} // namespace

void tickLease(Lease &lease, MonoTime now, const LeaseTimes &times) {
  if (pausedSince(lease, now, times)) {
    lease.PausedUnconfirmed = true;
    lease.PauseNoticedAt = now;
  }
  lease.LastTick = std::max(lease.LastTick, now);
}

void renewLease(Lease &lease, MonoTime sentAt, const LeaseTimes &times) {
  // Replies can be overtaken; an older one must not shorten the lease.
  lease.ValidUntil = std::max(lease.ValidUntil, sentAt + times.Usable);
  confirmAfterPause(lease, sentAt);
}

void markSuccessorDead(Lease &lease, MonoTime now) {
  if (now < lease.ValidUntil)
    lease.SuccessorDead = true;
}

void addCandidate(Lease &lease, const VmId &vm, const Incarnation &life) {
  lease.Candidates.try_emplace({vm, life});
}

void renewCandidate(Lease &lease, const VmId &vm, const Incarnation &life,
                    MonoTime sentAt, const LeaseTimes &times) {
  auto it = lease.Candidates.find({vm, life});
  if (it == lease.Candidates.end())
    return;
  it->second.ValidUntil =
      std::max(it->second.ValidUntil, sentAt + times.Usable);
}

void markCandidateDead(Lease &lease, const VmId &vm, const Incarnation &life,
                       MonoTime now) {
  auto it = lease.Candidates.find({vm, life});
  if (it != lease.Candidates.end() && now < it->second.ValidUntil)
    it->second.Dead = true;
}

void adoptSuccessor(Lease &lease, const VmId &vm, const Incarnation &life) {
  if (vm != lease.Successor || life != lease.SuccessorLife) {
    // A lease of the previous successor says nothing about the next one.
    LeaseCandidate granted;
    auto it = lease.Candidates.find({vm, life});
    if (it != lease.Candidates.end())
      granted = it->second;
    lease.ValidUntil = granted.ValidUntil;
    lease.SuccessorDead = granted.Dead;
    lease.Successor = vm;
    lease.SuccessorLife = life;
  }
  lease.NoSuccessor = vm.empty();
  lease.Lost = false;
  lease.Candidates.clear();
}

void confirmStore(Lease &lease, MonoTime askedAt) {
  confirmAfterPause(lease, askedAt);
}

void confirmLease(Lease &lease, bool hasSuccessor, bool successorChanged) {
  lease.NoSuccessor = !hasSuccessor;
  lease.PausedUnconfirmed = false;
  lease.Lost = false;
  if (successorChanged) {
    lease.SuccessorDead = false;
    lease.ValidUntil = MonoTime{};
  }
}

bool holdsLease(const Lease &lease, MonoTime now, const LeaseTimes &times) {
  if (lease.Lost || lease.PausedUnconfirmed || pausedSince(lease, now, times))
    return false;
  if (!lease.NoSuccessor && !lease.SuccessorDead && now >= lease.ValidUntil)
    return false;
  return std::all_of(lease.Candidates.begin(), lease.Candidates.end(),
                     [now](const auto &it) {
                       return it.second.Dead || now < it.second.ValidUntil;
                     });
}

} // namespace savorylb
