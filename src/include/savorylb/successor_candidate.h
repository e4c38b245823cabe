#ifndef SAVORYLB_SUCCESSOR_CANDIDATE_H
#define SAVORYLB_SUCCESSOR_CANDIDATE_H

#include "savorylb/units.h"

namespace savorylb {

/// A VM that the store may already name as successor, because a write that
/// names it was sent and the outcome of the write is not known.
struct SuccessorCandidate {
  MonoTime ValidUntil{};
  bool Dead = false;
};

} // namespace savorylb

#endif // SAVORYLB_SUCCESSOR_CANDIDATE_H
