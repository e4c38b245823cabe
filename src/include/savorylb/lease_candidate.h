#ifndef SAVORYLB_LEASE_CANDIDATE_H
#define SAVORYLB_LEASE_CANDIDATE_H

#include "savorylb/units.h"

namespace savorylb {

/// A VM that the store may already name as successor, because a write that
/// names it was sent and its outcome is not known.
struct LeaseCandidate {
  MonoTime ValidUntil{};
  bool Dead = false;
};

} // namespace savorylb

#endif // SAVORYLB_LEASE_CANDIDATE_H
