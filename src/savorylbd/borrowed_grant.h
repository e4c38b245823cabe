#ifndef SAVORYLB_SAVORYLBD_BORROWED_GRANT_H
#define SAVORYLB_SAVORYLBD_BORROWED_GRANT_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <cstdint>

namespace savorylb {

/// A peer's reply to a request for tokens.
struct BorrowedGrant {
  MicroTokens Amount;
  /// Number of the grant at the lender.
  std::uint64_t Number = 0;
  Incarnation Lender;
  /// The lender's level after the grant.
  MicroTokens RemainingLevel;
  bool Answered = false;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_BORROWED_GRANT_H
