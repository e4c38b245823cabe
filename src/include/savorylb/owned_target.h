#ifndef SAVORYLB_OWNED_TARGET_H
#define SAVORYLB_OWNED_TARGET_H

#include "savorylb/load_report.h"
#include "savorylb/target_spec.h"
#include "savorylb/units.h"

#include <cstdint>
#include <map>
#include <optional>

namespace savorylb {

/// One owned target and its slots.
struct OwnedTarget {
  TargetSpec Spec;
  std::map<std::uint64_t, MonoTime> Grants;
  /// Grants of Grants that were released while the target may still run their
  /// requests, and when.
  std::map<std::uint64_t, MonoTime> Left;
  /// Slots that an earlier owner may still be using, and until when.
  int InheritedBusy = 0;
  MonoTime InheritedUntil{};
  MonoTime OwnedSince{};
  /// Start of the warm-up; a cold target gets one slot at first.
  MonoTime WarmSince{};
  std::optional<LoadReport> Report;
  /// Slots the target still takes according to its newest report.
  int ReportedLimit = 0;
  bool Healthy = true;
  /// The health endpoint says that the target is leaving.
  bool SaysDraining = false;
  int FailuresInRow = 0;
  MonoTime RetryAt{};
  /// When each grant of Grants was made.
  std::map<std::uint64_t, MonoTime> GrantedAt;
  /// Wait before the next probe of a target that was taken out.
  Duration RetryDelay{};
  /// Grant that probes the target now, 0 when there is none.
  std::uint64_t ProbeGrant = 0;
  /// Whether requests, not only health probes, failed.
  bool FailedRequests = false;
  /// When a target that reports no slots may get a probe.
  MonoTime ProbeAt{};
  /// Limit after a request was shed, and until when it holds.
  int ShedLimit = 0;
  MonoTime ShedUntil{};
  /// Newest grant, to spread requests among equally busy targets.
  std::uint64_t LastGrant = 0;
};

} // namespace savorylb

#endif // SAVORYLB_OWNED_TARGET_H
