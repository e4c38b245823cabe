#include "savorylb/lease.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Checks whether the process was paused since the last tick. An unset LastTick
/// means that there was no tick yet.
bool pausedSince(const Lease &lease, MonoTime now, const LeaseTimes &times) {
  return lease.LastTick != MonoTime{} &&
         now - lease.LastTick > times.PauseLimit;
}

void confirmAfterPause(Lease &lease, MonoTime askedAt) {
  if (askedAt >= lease.PauseDetectedAt)
    lease.UnconfirmedAfterPause = false;
}

} // namespace

void detectPause(Lease &lease, MonoTime now, const LeaseTimes &times) {
  if (pausedSince(lease, now, times)) {
    lease.UnconfirmedAfterPause = true;
    lease.PauseDetectedAt = now;
  }
  lease.LastTick = std::max(lease.LastTick, now);
}

void renewLease(Lease &lease, MonoTime sentAt, const LeaseTimes &times) {
  // Replies can arrive out of order; an older one must not shorten the lease.
  lease.ValidUntil = std::max(lease.ValidUntil, sentAt + times.Usable);
  confirmAfterPause(lease, sentAt);
}

void markSuccessorDead(Lease &lease, MonoTime now) {
  if (now < lease.ValidUntil)
    lease.SuccessorDead = true;
}

void addCandidate(Lease &lease, const VmId &vm,
                  const Incarnation &incarnation) {
  lease.Candidates.try_emplace({vm, incarnation});
}

void renewCandidate(Lease &lease, const VmId &vm,
                    const Incarnation &incarnation, MonoTime sentAt,
                    const LeaseTimes &times) {
  auto it = lease.Candidates.find({vm, incarnation});
  if (it == lease.Candidates.end())
    return;
  it->second.ValidUntil =
      std::max(it->second.ValidUntil, sentAt + times.Usable);
}

void markCandidateDead(Lease &lease, const VmId &vm,
                       const Incarnation &incarnation, MonoTime now) {
  auto it = lease.Candidates.find({vm, incarnation});
  if (it != lease.Candidates.end() && now < it->second.ValidUntil)
    it->second.Dead = true;
}

void adoptSuccessor(Lease &lease, const VmId &vm,
                    const Incarnation &incarnation) {
  if (vm != lease.Successor || incarnation != lease.SuccessorIncarnation) {
    // A lease granted by the previous successor does not bind the new one.
    SuccessorCandidate granted;
    auto it = lease.Candidates.find({vm, incarnation});
    if (it != lease.Candidates.end())
      granted = it->second;
    lease.ValidUntil = granted.ValidUntil;
    lease.SuccessorDead = granted.Dead;
    lease.Successor = vm;
    lease.SuccessorIncarnation = incarnation;
  }
  lease.NoSuccessor = vm.empty();
  lease.Lost = false;
  lease.Candidates.clear();
}

void recordStoreContact(Lease &lease, MonoTime askedAt) {
  confirmAfterPause(lease, askedAt);
}

void confirmLease(Lease &lease, bool hasSuccessor, bool successorChanged) {
  lease.NoSuccessor = !hasSuccessor;
  lease.UnconfirmedAfterPause = false;
  lease.Lost = false;
  if (successorChanged) {
    lease.SuccessorDead = false;
    lease.ValidUntil = MonoTime{};
  }
}

bool holdsLease(const Lease &lease, MonoTime now, const LeaseTimes &times) {
  if (lease.Lost || lease.UnconfirmedAfterPause ||
      pausedSince(lease, now, times))
    return false;
  if (!lease.NoSuccessor && !lease.SuccessorDead && now >= lease.ValidUntil)
    return false;
  return std::all_of(lease.Candidates.begin(), lease.Candidates.end(),
                     [now](const auto &it) {
                       return it.second.Dead || now < it.second.ValidUntil;
                     });
}

} // namespace savorylb
