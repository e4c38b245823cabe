#ifndef SAVORYLB_SAVORYLBD_SETTLED_GRANTS_H
#define SAVORYLB_SAVORYLBD_SETTLED_GRANTS_H

#include "savorylb/ids.h"

#include <cstdint>
#include <vector>

namespace savorylb {

/// Grants of one lender whose holds can end, which the next borrow reports to
/// it.
struct SettledGrants {
  Incarnation Lender;
  std::vector<std::uint64_t> Grants;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_SETTLED_GRANTS_H
