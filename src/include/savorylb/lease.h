#ifndef SAVORYLB_LEASE_H
#define SAVORYLB_LEASE_H

#include "savorylb/units.h"

namespace savorylb {

/// Time limits of leases between a VM and its successor.
struct LeaseTimes {
  /// How long the successor holds off after it granted a lease.
  Duration Granted = Millis(3000);
  /// How much of it the holder uses; the rest covers clock drift.
  Duration Usable = Millis(2500);
  Duration RenewEvery = Millis(500);
  /// A gap between two ticks above this counts as a pause of the process.
  Duration PauseLimit = Millis(2000);
};

/// The holder's side of a lease: whether this VM may use what it owns.
struct Lease {
  /// End of the last granted lease, counted from when it was requested.
  MonoTime ValidUntil{};
  /// The zone has no other member, so nobody can take over.
  bool NoSuccessor = false;
  /// The named successor's incarnation was proved dead.
  bool SuccessorDead = false;
  /// A pause was noticed and neither store nor successor was reached since.
  bool PausedUnconfirmed = false;
  /// The store showed that this VM was taken over.
  bool Lost = false;
  MonoTime LastTick{};
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
/// \param lease the holder's lease.
void markSuccessorDead(Lease &lease);

/// Starts over after the store confirmed this VM's entry.
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
