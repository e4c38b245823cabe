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

/// How long a slot stays reserved after its request's deadline when the
/// forwarding VM did not release it.
constexpr Duration SlotExpiryGrace = Millis(500);

/// Failures in a row that take a target out.
constexpr int FailureLimit = 3;
/// First and longest wait before a target that was taken out, or that reports
/// no slots, gets one request as a probe.
constexpr Duration ProbeDelay = Seconds(1);
constexpr Duration LongestProbeDelay = Seconds(8);

/// A report limits its target for this long, so that a target whose reports
/// stop or are stale does not stay limited by the last one.
constexpr Duration ReportLifetime = Seconds(5);

/// A request that was granted by the earlier owner may still be on its way when
/// ownership moves; reports measured earlier than this after it free nothing.
constexpr Duration InheritedSettle = Millis(200);

/// A time-out counts as the target's failure only when the request held its
/// slot for this long; otherwise callers with very short deadlines could take
/// out every target.
constexpr Duration TimeoutEvidence = Millis(50);

/// The owned targets of one service.
struct SlotTable {
  ServiceSpec Service;
  std::map<TargetId, OwnedTarget> Targets;
  std::uint64_t NextGrant = 1;
  /// No grant expires before this time.
  MonoTime NextExpiry = MonoTime::max();
};

/// Starts owning a target; one that is owned already only gets the new spec.
/// \param table the owner's table.
/// \param spec the configured target.
/// \param inherited whether another VM may have requests on it.
/// \param now the current time.
void adoptTarget(SlotTable &table, const TargetSpec &spec, bool inherited,
                 MonoTime now);

/// Stops owning a target; requests in flight end on their own. A later
/// adoption has to count them as inherited.
/// \returns how many slots were still granted.
int dropTarget(SlotTable &table, const TargetId &target);

/// Grants a slot on the best target of a version.
/// \param table the owner's table.
/// \param version wanted version, empty for any.
/// \param avoid target to avoid when another one is free.
/// \param expiresAt the request's deadline, at most Service.MaxTime away, since
/// a later owner counts the slot as busy for no longer than that.
/// \param now the current time.
/// \returns the grant, or nothing when no slot is free.
std::optional<SlotGrant> grantSlot(SlotTable &table, const VersionId &version,
                                   const TargetId &avoid, MonoTime expiresAt,
                                   MonoTime now);

/// Returns a slot. One whose request may still run stays busy until its expiry
/// or until a load report measured later shows that fewer requests run.
/// \returns false when the grant is unknown, such as one that expired.
bool releaseSlot(SlotTable &table, const TargetId &target, std::uint64_t number,
                 SlotResult result, MonoTime now);

/// Frees slots whose request's deadline and grace have passed.
void expireGrants(SlotTable &table, MonoTime now);

/// Uses a load report: it can lower what is granted, never raise it above the
/// configured slots, and an older report never replaces a newer one. A report
/// of draining holds until a newer one says otherwise; others hold for
/// ReportLifetime, and a target that reports no slots gets one probe at a time.
void applyLoadReport(SlotTable &table, const TargetId &target,
                     const LoadReport &report, MonoTime now);

/// Records the result of a health probe. It restores a target that failed only
/// probes; one that failed requests returns by a probe request, since its
/// health endpoint does not show that requests work.
void applyHealth(SlotTable &table, const TargetId &target, bool healthy,
                 MonoTime now);

/// Records whether the health endpoint says that the target is leaving; it gets
/// nothing new until a later probe says otherwise.
void applyDraining(SlotTable &table, const TargetId &target, bool draining);

/// \returns slots that can be granted now, for one version or for all.
int freeSlots(const SlotTable &table, const VersionId &version, MonoTime now);
/// \returns slots of usable targets, busy or not.
int usableSlots(const SlotTable &table, const VersionId &version, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_SLOT_TABLE_H
