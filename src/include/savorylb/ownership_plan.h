#ifndef SAVORYLB_OWNERSHIP_PLAN_H
#define SAVORYLB_OWNERSHIP_PLAN_H

#include "savorylb/ids.h"
#include "savorylb/ownership_step.h"
#include "savorylb/units.h"
#include "savorylb/zone_document.h"

#include <string>
#include <vector>

namespace savorylb {

/// A change that this VM wants to write by compare-and-swap.
struct OwnershipPlan {
  OwnershipStep Step = OwnershipStep::None;
  ZoneDocument Next;
  /// VM that gains or loses by the change.
  VmId Other;
  /// Resources to stop using before the write.
  std::vector<TargetId> ReleasedTargets;
  std::vector<int> ReleasedPartitions;
  Ppm ReleasedRate;
  std::string Reason;
};

} // namespace savorylb

#endif // SAVORYLB_OWNERSHIP_PLAN_H
