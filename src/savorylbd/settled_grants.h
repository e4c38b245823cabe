#ifndef SAVORYLB_SAVORYLBD_SETTLED_GRANTS_H
#define SAVORYLB_SAVORYLBD_SETTLED_GRANTS_H

#include "savorylb/ids.h"

#include <cstdint>
#include <vector>

namespace savorylb {

/// Grants of one lender to be reported as settled with the next borrow.
struct SettledGrants {
  Incarnation Lender;
  std::vector<std::uint64_t> Grants;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_SETTLED_GRANTS_H
