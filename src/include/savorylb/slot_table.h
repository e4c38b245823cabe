#ifndef SAVORYLB_SLOT_TABLE_H
#define SAVORYLB_SLOT_TABLE_H

#include "savorylb/ids.h"
#include "savorylb/load_report.h"
#include "savorylb/owned_target.h"
#include "savorylb/service.h"
#include "savorylb/slot_grant.h"
#include "savorylb/slot_refusal.h"
#include "savorylb/slot_result.h"
#include "savorylb/units.h"

#include <map>
#include <optional>

namespace savorylb {

/// How long a slot stays busy after its request's deadline when the forwarding
/// VM did not release it.
constexpr Duration SlotExpiryGrace = Millis(500);

/// Consecutive failures after which a target is marked unhealthy.
constexpr int FailureLimit = 3;
/// Initial and maximum wait before an unhealthy target, or one that reports no
/// slots, gets one request as a probe. ProbeDelay is also how long the slot
/// limit stays reduced after a target shed a request.
constexpr Duration ProbeDelay = Seconds(1);
constexpr Duration MaxProbeDelay = Seconds(8);

/// How long a load report limits its target, so that a target whose reports
/// stop or are stale is not limited by the last one for longer.
constexpr Duration ReportLifetime = Seconds(5);

/// A request may still be in transit to its target for this long after
/// ownership of the target moved or after the request was abandoned. Load
/// reports measured sooner do not free its slot.
constexpr Duration InTransitTime = Millis(200);

/// A timeout counts as the target's failure only when the request held its slot
/// for at least this long; otherwise callers with very short deadlines could
/// make every target unhealthy.
constexpr Duration MinCountedTimeout = Millis(50);

/// The targets of one service that this VM owns, and their slots.
struct SlotTable {
  ServiceSpec Service;
  std::map<TargetId, OwnedTarget> Targets;
  std::uint64_t NextGrant = 1;
  /// No grant expires before this time.
  MonoTime NextExpiry = MonoTime::max();
};

/// Starts owning a target. Only the spec changes when it is owned already.
/// \param inherited whether requests that another VM granted may be running on
/// it.
void adoptTarget(SlotTable &table, const TargetSpec &spec, bool inherited,
                 MonoTime now);

/// Stops owning a target; requests in flight are not interrupted. If the target
/// is adopted again, they count as inherited.
/// \returns the number of slots that were still granted.
int dropTarget(SlotTable &table, const TargetId &target);

/// Grants a slot on the best target of a version.
/// \param version wanted version, empty for any.
/// \param avoid target to avoid when another one is free; may be empty.
/// \param expiresAt the request's deadline, at most Service.MaxTime away, since
/// a later owner counts the slot as busy for no longer than that.
/// \returns the grant, or nothing when no slot is free or the deadline passed.
std::optional<SlotGrant> grantSlot(SlotTable &table, const VersionId &version,
                                   const TargetId &avoid, MonoTime expiresAt,
                                   MonoTime now);

/// Releases a slot. A slot whose request may still run stays busy until the
/// grant expires, or until a load report measured later shows that fewer
/// requests run.
/// \returns false when the grant is unknown, for example because it expired.
bool releaseSlot(SlotTable &table, const TargetId &target, std::uint64_t number,
                 SlotResult result, MonoTime now);

/// Frees slots whose request's deadline and SlotExpiryGrace have passed.
void expireGrants(SlotTable &table, MonoTime now);

/// Applies a load report. It can lower the slot limit, but never raise it above
/// the configured slots, and an older report never replaces a newer one. A
/// report of draining is valid until a newer one replaces it, other reports for
/// ReportLifetime. A target that reports no slots gets one probe at a time.
void applyLoadReport(SlotTable &table, const TargetId &target,
                     const LoadReport &report, MonoTime now);

/// Records the result of a health probe. A success marks a target healthy that
/// failed only health probes. A target that failed requests must first serve a
/// probe request, since its health endpoint does not show that requests work.
void applyHealthProbe(SlotTable &table, const TargetId &target, bool healthy,
                      MonoTime now);

/// Records whether the health endpoint reports that the target is draining; if
/// so, it gets no new requests until a later probe reports otherwise.
void applyDraining(SlotTable &table, const TargetId &target, bool draining);

/// Counts the slots that can be granted now.
/// \param version version of the targets, empty for all.
int freeSlots(const SlotTable &table, const VersionId &version, MonoTime now);

/// Counts the slots of usable targets, both free and busy.
/// \param version version of the targets, empty for all.
int usableSlots(const SlotTable &table, const VersionId &version, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_SLOT_TABLE_H
