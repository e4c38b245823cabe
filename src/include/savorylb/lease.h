#ifndef SAVORYLB_LEASE_H
#define SAVORYLB_LEASE_H

#include "savorylb/ids.h"
#include "savorylb/lease_candidate.h"
#include "savorylb/lease_times.h"
#include "savorylb/units.h"

#include <map>
#include <utility>

namespace savorylb {

/// The holder's side of a lease: whether this VM may use what it owns.
struct Lease {
  /// End of the last granted lease, counted from when it was requested.
  MonoTime ValidUntil{};
  /// The zone has no other member, so nobody can take over.
  bool NoSuccessor = false;
  /// The named successor's incarnation was proved dead while its lease held.
  bool SuccessorDead = false;
  /// A pause was noticed and neither store nor successor was reached since.
  bool PausedUnconfirmed = false;
  /// The store showed that this VM was taken over.
  bool Lost = false;
  MonoTime LastTick{};
  /// When the last pause was noticed; only what was asked after it confirms.
  MonoTime PauseNoticedAt{};
  /// The successor that the last adopted zone document names.
  VmId Successor;
  Incarnation SuccessorLife;
  /// Each of them must have granted a lease as well.
  std::map<std::pair<VmId, Incarnation>, LeaseCandidate> Candidates;
};

/// Notices pauses of the process; called on each control tick and before use.
/// \param lease the holder's lease.
/// \param now time of this tick.
/// \param times the limits.
void tickLease(Lease &lease, MonoTime now, const LeaseTimes &times);

/// Records that the successor granted a lease.
/// \param lease the holder's lease.
/// \param sentAt when the request was sent, not when the reply came.
/// \param times the limits.
void renewLease(Lease &lease, MonoTime sentAt, const LeaseTimes &times);

/// Records that the named successor's incarnation is dead for good.
///
/// It counts only while the lease that it granted is valid: after that the
/// successor may have taken this VM over before it died, so this VM waits until
/// the zone document has changed.
/// \param lease the holder's lease.
/// \param now the current time, read after the proof came.
void markSuccessorDead(Lease &lease, MonoTime now);

/// Requires a lease from a VM that is about to be named successor; called
/// before the write is sent. Without it the new successor, which has granted
/// nothing, could take over while a lease of the old one is in use.
/// \param lease the holder's lease.
/// \param vm the VM to be named.
/// \param life its incarnation.
void addCandidate(Lease &lease, const VmId &vm, const Incarnation &life);

/// Records a lease granted by a candidate.
/// \param lease the holder's lease.
/// \param vm the candidate.
/// \param life its incarnation.
/// \param sentAt when the request was sent.
/// \param times the limits.
void renewCandidate(Lease &lease, const VmId &vm, const Incarnation &life,
                    MonoTime sentAt, const LeaseTimes &times);

/// Records that a candidate's incarnation is dead for good, under the same
/// condition as markSuccessorDead().
void markCandidateDead(Lease &lease, const VmId &vm, const Incarnation &life,
                       MonoTime now);

/// Takes over what an adopted zone document says about the successor, once no
/// write of this VM is undecided.
/// \param lease the holder's lease.
/// \param vm the named successor, empty when there is none.
/// \param life the successor's incarnation.
void adoptSuccessor(Lease &lease, const VmId &vm, const Incarnation &life);

/// Records that the store answered, which ends the doubt after a pause.
/// \param lease the holder's lease.
/// \param askedAt when the store was asked.
void confirmStore(Lease &lease, MonoTime askedAt);

/// Starts over after the store confirmed this VM's entry; the store must have
/// been asked after the last pause.
/// \param lease the holder's lease.
/// \param hasSuccessor whether the zone document names a successor.
/// \param successorChanged whether it names another one than before.
void confirmLease(Lease &lease, bool hasSuccessor, bool successorChanged);

/// \param lease the holder's lease.
/// \param now the moment of use.
/// \param times the limits.
/// \returns true when this VM may use what it owns.
bool holdsLease(const Lease &lease, MonoTime now, const LeaseTimes &times);

} // namespace savorylb

#endif // SAVORYLB_LEASE_H
