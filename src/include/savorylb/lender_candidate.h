#ifndef SAVORYLB_LENDER_CANDIDATE_H
#define SAVORYLB_LENDER_CANDIDATE_H

#include "savorylb/ids.h"
#include "savorylb/lender_level.h"

namespace savorylb {

/// A peer that may lend tokens.
struct LenderCandidate {
  VmId Vm;
  /// Level in its last heartbeat.
  LenderLevel Published;
  bool SameRegion = false;
};

} // namespace savorylb

#endif // SAVORYLB_LENDER_CANDIDATE_H
