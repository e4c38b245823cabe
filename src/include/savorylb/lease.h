#ifndef SAVORYLB_LEASE_H
#define SAVORYLB_LEASE_H

#include "savorylb/ids.h"
#include "savorylb/lease_times.h"
#include "savorylb/successor_candidate.h"
#include "savorylb/units.h"

#include <map>
#include <utility>

namespace savorylb {

/// The holder's side of a lease. The VM may use the resources it owns only
/// while it holds the lease, since its successor may take them over afterwards.
struct Lease {
  /// End of the last granted lease, counted from the time of the request.
  MonoTime ValidUntil{};
  /// This VM's entry names no successor, so no VM may take over without proof
  /// of its death.
  bool NoSuccessor = false;
  /// The successor's incarnation was proved dead while the lease that it
  /// granted was valid.
  bool SuccessorDead = false;
  /// The process was paused and has reached neither the store nor the successor
  /// since.
  bool UnconfirmedAfterPause = false;
  /// The store's document does not list this incarnation as a member: it was
  /// taken over or replaced, or has left.
  bool Lost = false;
  MonoTime LastTick{};
  /// When the last pause was detected; only replies to requests sent after it
  /// end UnconfirmedAfterPause.
  MonoTime PauseDetectedAt{};
  /// The successor that the last adopted zone document names.
  VmId Successor;
  Incarnation SuccessorIncarnation;
  /// VMs that may be the successor already; each must have granted a lease too.
  std::map<std::pair<VmId, Incarnation>, SuccessorCandidate> Candidates;
};

/// Detects pauses of the process by the time since the previous call; called on
/// each control tick and before the lease is used.
void detectPause(Lease &lease, MonoTime now, const LeaseTimes &times);

/// Records that the successor granted a lease.
/// \param sentAt when the request was sent, not when the reply arrived.
void renewLease(Lease &lease, MonoTime sentAt, const LeaseTimes &times);

/// Records that the successor's incarnation has ended and cannot return.
///
/// Has no effect after the lease that it granted has ended: the successor may
/// have taken over from this VM before it died, so this VM waits until the zone
/// document has changed.
/// \param now the current time, read after the proof arrived.
void markSuccessorDead(Lease &lease, MonoTime now);

/// Requires a lease from a VM that is about to be named successor; called
/// before the write is sent. Without it, the new successor, which has granted
/// no lease, could take over while this VM relies on a lease of the old one.
void addCandidate(Lease &lease, const VmId &vm, const Incarnation &incarnation);

/// Records a lease granted by a candidate; ignored for other VMs.
/// \param sentAt when the request was sent, not when the reply arrived.
void renewCandidate(Lease &lease, const VmId &vm,
                    const Incarnation &incarnation, MonoTime sentAt,
                    const LeaseTimes &times);

/// Records that a candidate's incarnation has ended and cannot return, under
/// the same condition as markSuccessorDead().
void markCandidateDead(Lease &lease, const VmId &vm,
                       const Incarnation &incarnation, MonoTime now);

/// Sets the successor that an adopted zone document names; called once the
/// outcome of every write of this VM is known.
/// \param vm the successor, empty when there is none.
void adoptSuccessor(Lease &lease, const VmId &vm,
                    const Incarnation &incarnation);

/// Records that the store answered, which ends UnconfirmedAfterPause.
/// \param askedAt when the store was asked, not when it answered.
void recordStoreContact(Lease &lease, MonoTime askedAt);

/// Resets the lease after the store confirmed this VM's entry; the store must
/// have been asked after the last pause.
/// \param hasSuccessor whether the zone document names a successor.
/// \param successorChanged whether it names another one than before.
void confirmLease(Lease &lease, bool hasSuccessor, bool successorChanged);

/// Checks whether this VM may use the resources it owns.
/// \param now the time of use.
/// \returns true while the lease of the successor and those of all candidates
/// are valid, or they are proved dead, and no pause is unconfirmed.
bool holdsLease(const Lease &lease, MonoTime now, const LeaseTimes &times);

} // namespace savorylb

#endif // SAVORYLB_LEASE_H
