#ifndef SAVORYLB_LENDER_LEVEL_H
#define SAVORYLB_LENDER_LEVEL_H

#include "savorylb/units.h"

namespace savorylb {

/// A peer's level of one team's tokens at a time.
struct LenderLevel {
  MicroTokens Level;
  MonoTime AsOf{};
};

} // namespace savorylb

#endif // SAVORYLB_LENDER_LEVEL_H
