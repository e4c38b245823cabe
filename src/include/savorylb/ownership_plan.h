#ifndef SAVORYLB_OWNERSHIP_PLAN_H
#define SAVORYLB_OWNERSHIP_PLAN_H

#include "savorylb/ids.h"
#include "savorylb/ownership_step.h"
#include "savorylb/units.h"
#include "savorylb/zone_document.h"

#include <string>
#include <vector>

namespace savorylb {

/// A change of the owner map that this VM intends to write by compare-and-swap.
struct OwnershipPlan {
  OwnershipStep Step = OwnershipStep::None;
  /// The document to write.
  ZoneDocument Next;
  /// The other VM that gains or loses resources, or is named successor.
  VmId AffectedVm;
  /// Resources that this VM must stop using before the write.
  std::vector<TargetId> ReleasedTargets;
  std::vector<int> ReleasedPartitions;
  /// Share of the fleet's rates.
  Ppm ReleasedRateShare;
  /// Why the change is made, or why none is made yet; for the event log.
  std::string Reason;
};

} // namespace savorylb

#endif // SAVORYLB_OWNERSHIP_PLAN_H
