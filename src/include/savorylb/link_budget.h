#ifndef SAVORYLB_LINK_BUDGET_H
#define SAVORYLB_LINK_BUDGET_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <cstdint>
#include <map>

namespace savorylb {

/// Token bucket for the bytes that this VM may send over the link to another
/// region.
struct LinkBudget {
  std::int64_t BytesPerSecond = 0;
  /// Bytes available now; negative after larger transfers than reserved.
  std::int64_t Level = 0;
  MonoTime Updated{};
  /// Fraction left over by the last refill, in millionths of a byte.
  std::int64_t Remainder = 0;
};

/// Budgets by the region at the other end of the link.
using LinkBudgets = std::map<RegionId, LinkBudget>;

/// Sets this VM's share of a link; the bucket holds at most 100 ms of it.
/// \param linkBytesPerSecond capacity of the whole link.
void setLinkShare(LinkBudget &budget, std::int64_t linkBytesPerSecond,
                  Ppm share, MonoTime now);

/// Reserves the expected bytes of a request before it is sent. A request larger
/// than the bucket needs a full bucket and makes its level negative.
/// \returns false, and reserves nothing, when too few bytes are available.
bool reserveBytes(LinkBudget &budget, std::int64_t bytes, MonoTime now);

/// Replaces a reservation by the bytes that were transferred. The level may
/// become negative, which delays later requests.
void settleBytes(LinkBudget &budget, std::int64_t reserved, std::int64_t actual,
                 MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_LINK_BUDGET_H
