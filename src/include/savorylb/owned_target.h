#ifndef SAVORYLB_OWNED_TARGET_H
#define SAVORYLB_OWNED_TARGET_H

#include "savorylb/load_report.h"
#include "savorylb/target_spec.h"
#include "savorylb/units.h"

#include <cstdint>
#include <map>
#include <optional>

namespace savorylb {

/// The state that the owner of a target keeps about it and its slots.
struct OwnedTarget {
  TargetSpec Spec;
  /// Deadline of the request of each grant that keeps a slot busy.
  std::map<std::uint64_t, MonoTime> Grants;
  /// Grants that were released although the target may still be running their
  /// requests, with the time of release. Each is also in Grants.
  std::map<std::uint64_t, MonoTime> ReleasedWhileBusy;
  /// Number of slots that a previous owner may still use, and until when.
  int InheritedBusy = 0;
  MonoTime InheritedUntil{};
  MonoTime OwnedSince{};
  /// Start of the warm-up; a cold target starts with one slot.
  MonoTime WarmUpStart{};
  std::optional<LoadReport> Report;
  /// Slot limit from the latest report: 0 while the target sheds, at most
  /// Spec.Slots. Before the first report it is the number of slots with which
  /// the target was adopted.
  int ReportedLimit = 0;
  bool Healthy = true;
  /// The target's health endpoint reports that it is draining.
  bool ReportsDraining = false;
  int ConsecutiveFailures = 0;
  MonoTime RetryAt{};
  /// Time of issue of each grant that is not released yet.
  std::map<std::uint64_t, MonoTime> GrantedAt;
  /// Delay before the next probe of a target that was taken out of service.
  Duration RetryDelay{};
  /// Grant whose request probes the target now, 0 when there is none.
  std::uint64_t ProbeGrant = 0;
  /// Whether requests failed, not only health probes.
  bool FailedRequests = false;
  /// Earliest time at which a target that reports no slots may be probed.
  MonoTime ProbeAt{};
  /// Slot limit after the target shed a request, and until when it applies.
  int ShedLimit = 0;
  MonoTime ShedUntil{};
  /// Number of the latest grant, to spread requests over equally busy targets.
  std::uint64_t LastGrant = 0;
};

} // namespace savorylb

#endif // SAVORYLB_OWNED_TARGET_H
