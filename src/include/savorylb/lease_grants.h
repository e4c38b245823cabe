#ifndef SAVORYLB_LEASE_GRANTS_H
#define SAVORYLB_LEASE_GRANTS_H

#include "savorylb/ids.h"
#include "savorylb/lease.h"
#include "savorylb/units.h"

#include <map>
#include <utility>

namespace savorylb {

/// The successor's side: leases granted to the VMs that name this one.
struct LeaseGrants {
  /// Start of this process; nothing is taken over before all leases that an
  /// earlier incarnation may have granted have ended.
  MonoTime StartedAt{};
  std::map<std::pair<VmId, Incarnation>, MonoTime> HeldUntil;
  /// Holders that this VM has decided to take over; they get no more leases.
  std::map<std::pair<VmId, Incarnation>, MonoTime> TakingOver;
};

/// Starts the grace time again after a pause of this process: requests for
/// leases may have piled up unanswered, and their senders are alive.
/// \param grants this VM's grants.
/// \param now when the pause was noticed.
void restartGrace(LeaseGrants &grants, MonoTime now);

/// Grants a lease unless a takeover has begun.
/// \param grants this VM's grants.
/// \param vm the holder.
/// \param incarnation the holder's incarnation.
/// \param now when the request arrived.
/// \param times the limits.
/// \returns true when granted.
bool grantLease(LeaseGrants &grants, const VmId &vm,
                const Incarnation &incarnation, MonoTime now,
                const LeaseTimes &times);

/// \param grants this VM's grants.
/// \param vm the holder.
/// \param incarnation the holder's incarnation.
/// \param now the current time.
/// \param times the limits.
/// \param provedDead whether the holder's incarnation is proved dead.
/// \returns true when no granted lease can still be in use.
bool mayTakeOver(const LeaseGrants &grants, const VmId &vm,
                 const Incarnation &incarnation, MonoTime now,
                 const LeaseTimes &times, bool provedDead);

/// Marks a takeover as begun, so that no further lease is granted.
void beginTakeover(LeaseGrants &grants, const VmId &vm,
                   const Incarnation &incarnation, MonoTime now);

/// Ends a takeover whose write certainly did not take effect.
void abandonTakeover(LeaseGrants &grants, const VmId &vm,
                     const Incarnation &incarnation);

} // namespace savorylb

#endif // SAVORYLB_LEASE_GRANTS_H
