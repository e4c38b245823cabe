#include "duty_lease.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Time for which each VM in the order waits for those before it. A claim takes
/// two calls to the store.
constexpr Duration ClaimInterval = Millis(300);
/// VMs that may claim in turn; later ones wait no longer than these.
constexpr int MaxClaimRank = 8;
/// Renewals within the time of a lease.
constexpr int RenewalsPerLease = 3;
/// Bits of a token for the revision within an era; 2^40 changes take 35 years
/// at a thousand a second.
constexpr int RevisionBits = 40;

} // namespace

const char *dutyLossName(DutyLoss reason) {
  switch (reason) {
  case DutyLoss::Expired:
    return "expired";
  case DutyLoss::Removed:
    return "removed";
  case DutyLoss::TakenOver:
    return "taken-over";
  case DutyLoss::NewEra:
    return "new-era";
  case DutyLoss::TokenRefused:
    return "token-refused";
  case DutyLoss::Stopped:
    return "stopped";
  }
  return "";
}

std::optional<DutyLoss> noteClaim(DutyState &duty,
                                  const std::optional<DutyClaim> &claim,
                                  StorePosition at, MonoTime now) {
  if (at < duty.KnownAt)
    return std::nullopt;
  duty.KnownAt = at;
  bool vacated = !claim && (duty.Known || !duty.Listed);
  duty.Listed = true;
  duty.Known = claim;
  if (vacated)
    duty.VacantSince = now;
  if (!duty.Held || (claim && claim->Position == duty.Held->Position))
    return std::nullopt;
  DutyLoss reason = !claim ? DutyLoss::Removed
                    : claim->Position.Era > duty.Held->Position.Era
                        ? DutyLoss::NewEra
                        : DutyLoss::TakenOver;
  loseDuty(duty, now);
  return reason;
}

bool claimDue(const DutyState &duty, int rank, MonoTime now) {
  if (!duty.Listed || duty.Known || duty.Held || duty.Stopping ||
      now < duty.NoClaimBefore)
    return false;
  return now - duty.VacantSince >=
         std::clamp(rank, 0, MaxClaimRank) * ClaimInterval;
}

bool isOwnClaim(const DutyState &duty, const DutyClaim &claim,
                std::int64_t lease) {
  return claim.Vm == duty.Self && claim.StartId == duty.StartId &&
         claim.Lease == lease;
}

void gainDuty(DutyState &duty, std::int64_t lease, StorePosition position,
              MonoTime leaseUntil, MonoTime now) {
  // Without the platform's check, a call of the last holder that is executed
  // late would arrive after one with this higher token. A VM that was cut off
  // from the store may not have seen who that was.
  duty.QuietUntil =
      duty.Limits.Fencing ? now : now + duty.Limits.Lease + duty.Limits.Margin;
  duty.Held = DutyClaim{duty.Self, duty.StartId, lease, position};
  duty.Known = duty.Held;
  duty.KnownAt = std::max(duty.KnownAt, position);
  duty.ValidUntil = leaseUntil;
}

void renewDuty(DutyState &duty, MonoTime sentAt, Duration ttl) {
  if (duty.Held)
    duty.ValidUntil = std::max(duty.ValidUntil, sentAt + ttl);
}

bool renewalDue(const DutyState &duty, MonoTime sentAt, MonoTime now) {
  return duty.Held && now - sentAt >= duty.Limits.Lease / RenewalsPerLease;
}

bool isAbandonedClaim(const DutyState &duty) {
  return duty.Known && !duty.Held && duty.Known->Vm == duty.Self &&
         duty.Known->StartId == duty.StartId;
}

void loseDuty(DutyState &duty, MonoTime now) {
  if (!duty.Held)
    return;
  duty.Held.reset();
  duty.NoClaimBefore = now + duty.Limits.Lease + duty.Limits.Margin;
}

bool mayAct(const DutyState &duty, MonoTime now) {
  return callLimit(duty, now) > Duration::zero();
}

Duration callLimit(const DutyState &duty, MonoTime now) {
  if (!duty.Held || now < duty.QuietUntil)
    return Duration::zero();
  return std::max(Duration::zero(), duty.ValidUntil - duty.Limits.Margin - now);
}

bool dutyExpired(const DutyState &duty, MonoTime now) {
  return duty.Held && now >= duty.ValidUntil;
}

FencingToken fencingToken(StorePosition position) {
  return FencingToken((position.Era.Value << RevisionBits) +
                      position.Number.Value);
}

} // namespace savorylb
