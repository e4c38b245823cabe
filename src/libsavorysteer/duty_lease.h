#ifndef SAVORYLB_DUTY_LEASE_H
#define SAVORYLB_DUTY_LEASE_H

#include "savorylb/ids.h"
#include "savorylb/store_position.h"

#include <optional>
#include <string>

namespace savorylb {

/// Increases with each change of a duty's holder and is never used twice.
using FencingToken = Quantity<struct FencingTokenTag>;

/// Times and checks of a duty that one VM at a time performs.
struct DutyLimits {
  /// Time to live of the holder's lease.
  Duration Lease{0};
  /// The holder no longer acts from this time before the end of its lease.
  Duration Margin{0};
  /// The platform refuses a lower token than it has seen. Otherwise a new
  /// holder waits until calls of the last one can no longer arrive.
  bool Fencing = true;
};

/// The claim of a duty in the store.
struct DutyClaim {
  VmId Vm;
  /// Distinguishes the process starts of one VM.
  std::string StartId;
  /// Lease that the claim's key is attached to. Tells the attempts of one
  /// process to claim apart.
  std::int64_t Lease = 0;
  /// Position at which the claim was written.
  StorePosition Position;
};

/// Why a VM no longer holds a duty.
enum class DutyLoss {
  Expired,
  Removed,
  TakenOver,
  NewEra,
  TokenRefused,
  Stopped
};

/// \returns the name of the reason in the log.
const char *dutyLossName(DutyLoss reason);

/// This VM's view of one duty, and its lease while it holds the duty.
struct DutyState {
  VmId Self;
  std::string StartId;
  DutyLimits Limits;
  /// The claim that the store is known to hold.
  std::optional<DutyClaim> Known;
  /// Position of the newest news of the key, or of this VM's claim.
  StorePosition KnownAt;
  /// The key of the claim was listed, or a change of it was seen.
  bool Listed = false;
  /// Since when Known is empty.
  MonoTime VacantSince{};
  /// This VM's claim while it holds the duty.
  std::optional<DutyClaim> Held;
  /// Until when the lease is known to run.
  MonoTime ValidUntil{};
  /// A new holder does not act before this time.
  MonoTime QuietUntil{};
  /// This VM does not claim the duty before this time.
  MonoTime NoClaimBefore{};
  bool Stopping = false;
};

/// Records the claim that a watch of the store, or a read, has shown. News that
/// are older than the known ones, as a followed VM may send them, change
/// nothing.
/// \param claim nothing if the key does not exist.
/// \param at position of the claim, or of its removal.
/// \returns why this VM has lost the duty by that, or nothing.
std::optional<DutyLoss> noteClaim(DutyState &duty,
                                  const std::optional<DutyClaim> &claim,
                                  StorePosition at, MonoTime now);

/// \param rank place of this VM among the live VMs in the order for this duty.
/// \returns whether this VM should claim the duty now. VMs later in the order
///          wait for those before them.
bool claimDue(const DutyState &duty, int rank, MonoTime now);

/// \returns whether a claim is the one that this process attached to a lease. A
///          claim of an earlier attempt ends with that attempt's lease, which
///          nobody renews.
bool isOwnClaim(const DutyState &duty, const DutyClaim &claim,
                std::int64_t lease);

/// Records that this VM's claim is in the store.
/// \param leaseUntil end of the lease, counted from when it was requested.
void gainDuty(DutyState &duty, std::int64_t lease, StorePosition position,
              MonoTime leaseUntil, MonoTime now);

/// Records that the store has renewed the lease.
/// \param sentAt when the renewal was sent, not when it was answered.
/// \param ttl time to live that the store stated.
void renewDuty(DutyState &duty, MonoTime sentAt, Duration ttl);

/// \returns whether the holder should renew its lease.
/// \param sentAt when the last renewal was sent.
bool renewalDue(const DutyState &duty, MonoTime sentAt, MonoTime now);

/// \returns whether the known claim is one of this process start although it
///          does not hold the duty, so that the key should be removed: the
///          claim was given up or executed late, or the store came back from an
///          older copy with it.
bool isAbandonedClaim(const DutyState &duty);

/// Gives the duty up. This VM does not claim it again within a lease.
void loseDuty(DutyState &duty, MonoTime now);

/// \returns whether this VM may act as holder now.
bool mayAct(const DutyState &duty, MonoTime now);

/// \returns how long a call that is sent now may take; 0 if none may be sent.
Duration callLimit(const DutyState &duty, MonoTime now);

/// \returns whether the lease of the held duty has ended as far as this VM
/// knows.
bool dutyExpired(const DutyState &duty, MonoTime now);

/// \returns the token of a claim. The store orders positions also when it came
///          back from an older copy.
FencingToken fencingToken(StorePosition position);

} // namespace savorylb

#endif // SAVORYLB_DUTY_LEASE_H
