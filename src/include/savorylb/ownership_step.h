#ifndef SAVORYLB_OWNERSHIP_STEP_H
#define SAVORYLB_OWNERSHIP_STEP_H

namespace savorylb {

/// Kinds of change to the owner map. Before NameSuccessor is written,
/// OwnershipPlan::AffectedVm must have granted a lease; see beginChange().
enum class OwnershipStep {
  None,
  Join,
  NameSuccessor,
  TakeOver,
  Claim,
  HandOff,
  Leave,
};

} // namespace savorylb

#endif // SAVORYLB_OWNERSHIP_STEP_H
