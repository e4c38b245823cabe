#ifndef SAVORYLB_LEASE_GRANTS_H
#define SAVORYLB_LEASE_GRANTS_H

#include "savorylb/ids.h"
#include "savorylb/lease.h"
#include "savorylb/units.h"

#include <map>
#include <utility>

namespace savorylb {

/// The successor's side: leases granted to VMs that name this VM as successor.
struct LeaseGrants {
  /// Start of the grace period: start of this process or its last detected
  /// pause. Without a proof of death, nothing is taken over for
  /// LeaseTimes::Granted after it, until all leases that an earlier incarnation
  /// of this VM may have granted have ended.
  MonoTime GraceStartedAt{};
  std::map<std::pair<VmId, Incarnation>, MonoTime> HeldUntil;
  /// Holders that this VM is taking over from, and since when; they get no more
  /// leases.
  std::map<std::pair<VmId, Incarnation>, MonoTime> TakingOver;
};

/// Restarts the grace period after a pause of this process: lease requests of
/// live holders may have gone unanswered meanwhile.
/// \param now when the pause was detected.
void restartGracePeriod(LeaseGrants &grants, MonoTime now);

/// Grants a lease unless a takeover from the holder has begun.
/// \param vm the holder.
/// \param now when the request arrived.
/// \returns true when granted.
bool grantLease(LeaseGrants &grants, const VmId &vm,
                const Incarnation &incarnation, MonoTime now,
                const LeaseTimes &times);

/// Checks whether this VM may take over what a holder owns.
/// \param vm the holder.
/// \param provedDead whether the holder's incarnation is proved dead.
/// \returns true when the holder cannot be using a lease any more.
bool mayTakeOver(const LeaseGrants &grants, const VmId &vm,
                 const Incarnation &incarnation, MonoTime now,
                 const LeaseTimes &times, bool provedDead);

/// Marks a takeover as begun, so that the holder gets no further lease.
void beginTakeover(LeaseGrants &grants, const VmId &vm,
                   const Incarnation &incarnation, MonoTime now);

/// Ends a takeover whose write is known not to have taken effect.
void abandonTakeover(LeaseGrants &grants, const VmId &vm,
                     const Incarnation &incarnation);

} // namespace savorylb

#endif // SAVORYLB_LEASE_GRANTS_H
