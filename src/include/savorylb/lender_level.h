#ifndef SAVORYLB_LENDER_LEVEL_H
#define SAVORYLB_LENDER_LEVEL_H

#include "savorylb/units.h"

namespace savorylb {

/// Tokens of one team that a peer had at a given time.
struct LenderLevel {
  MicroTokens Level;
  MonoTime AsOf{};
};

} // namespace savorylb

#endif // SAVORYLB_LENDER_LEVEL_H
