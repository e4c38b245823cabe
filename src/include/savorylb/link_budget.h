#ifndef SAVORYLB_LINK_BUDGET_H
#define SAVORYLB_LINK_BUDGET_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <cstdint>
#include <map>

namespace savorylb {

/// This VM's share of the bytes between two regions.
struct LinkBudget {
  std::int64_t BytesPerSecond = 0;
  std::int64_t Level = 0;
  MonoTime Updated{};
  /// Remainder of the last refill in millionths of a byte.
  std::int64_t Remainder = 0;
};

/// Budgets by the region at the far end.
using LinkBudgets = std::map<RegionId, LinkBudget>;

/// Sets a link's share; the bucket holds at most 100 ms of it.
void setLinkShare(LinkBudget &budget, std::int64_t linkBytesPerSecond,
                  Ppm share, MonoTime now);

/// Reserves the expected bytes of a request before it is sent. A request larger
/// than the bucket needs a full bucket and leaves it in debt.
/// \returns false when the link has no room for it now.
bool reserveBytes(LinkBudget &budget, std::int64_t bytes, MonoTime now);

/// Corrects a reservation by the bytes that really went over the link; the
/// level may become negative, which holds back later requests.
void settleBytes(LinkBudget &budget, std::int64_t reserved, std::int64_t actual,
                 MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_LINK_BUDGET_H
