#include "savorylb/link_budget.h"

#include <algorithm>

namespace savorylb {

namespace {

constexpr std::int64_t Million = 1'000'000;

/// The highest configured rate of a link, 10^12 bytes a second, times the
/// elapsed microseconds can exceed 64 bits.
__extension__ using Int128 = __int128;

/// The bucket holds at most 100 ms of the link's rate, so that a burst waits in
/// front of the link for no longer than that.
std::int64_t capacityOf(const LinkBudget &budget) {
  return budget.BytesPerSecond / 10;
}

void clampLevel(LinkBudget &budget) {
  if (budget.Level >= capacityOf(budget)) {
    budget.Level = capacityOf(budget);
    budget.Remainder = 0;
  }
}

void refillBudget(LinkBudget &budget, MonoTime now) {
  if (now <= budget.Updated)
    return;
  Int128 gain = Int128(budget.BytesPerSecond) * (now - budget.Updated).count() +
                budget.Remainder;
  budget.Updated = now;
  Int128 room = std::max<std::int64_t>(0, capacityOf(budget) - budget.Level);
  budget.Level += static_cast<std::int64_t>(std::min(room, gain / Million));
  budget.Remainder = static_cast<std::int64_t>(gain % Million);
  clampLevel(budget);
}

} // namespace

void setLinkShare(LinkBudget &budget, std::int64_t linkBytesPerSecond,
                  Ppm share, MonoTime now) {
  refillBudget(budget, now);
  budget.BytesPerSecond = static_cast<std::int64_t>(Int128(linkBytesPerSecond) *
                                                    share.Value / Million);
  clampLevel(budget);
}

bool reserveBytes(LinkBudget &budget, std::int64_t bytes, MonoTime now) {
  refillBudget(budget, now);
  if (budget.BytesPerSecond <= 0 ||
      budget.Level < std::min(bytes, capacityOf(budget)))
    return false;
  budget.Level -= bytes;
  return true;
}

void settleBytes(LinkBudget &budget, std::int64_t reserved, std::int64_t actual,
                 MonoTime now) {
  refillBudget(budget, now);
  budget.Level += reserved - actual;
  clampLevel(budget);
}

} // namespace savorylb
