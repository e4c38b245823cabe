#ifndef SAVORYLB_SAVORYLBD_LINK_SHARDS_H
#define SAVORYLB_SAVORYLBD_LINK_SHARDS_H

#include "savorylb/link_budget.h"

#include <mutex>

namespace savorylb {

struct Daemon;

/// This VM's byte budgets for the links from its region to others.
struct LinkShards {
  std::mutex Lock;
  LinkBudgets Budgets;
};

/// Sets this VM's share of the configured links of its region.
/// \param share this VM's share of the fleet's rates.
void applyLinks(Daemon &daemon, Ppm share);

/// Reserves link bytes for a request to another region.
/// \returns false when the budget is too low or this VM may not use its share.
bool reserveLink(Daemon &daemon, const RegionId &region, std::int64_t bytes);

/// Replaces a reservation by the bytes that were sent and received.
void settleLink(Daemon &daemon, const RegionId &region, std::int64_t reserved,
                std::int64_t actual);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_LINK_SHARDS_H
