#ifndef SAVORYLB_SAVORYLBD_BORROWED_GRANT_H
#define SAVORYLB_SAVORYLBD_BORROWED_GRANT_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <cstdint>

namespace savorylb {

/// A peer's answer to a borrow.
struct BorrowedGrant {
  MicroTokens Amount;
  std::uint64_t Number = 0;
  Incarnation Lender;
  /// The lender's level after the grant, when it answered.
  MicroTokens LevelLeft;
  bool Answered = false;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_BORROWED_GRANT_H
