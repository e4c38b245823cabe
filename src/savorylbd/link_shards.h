#ifndef SAVORYLB_SAVORYLBD_LINK_SHARDS_H
#define SAVORYLB_SAVORYLBD_LINK_SHARDS_H

#include "savorylb/link_budget.h"

#include <mutex>

namespace savorylb {

struct Daemon;

/// This VM's share of the links from its region to others.
struct LinkShards {
  std::mutex Lock;
  LinkBudgets Budgets;
};

/// Sets the shares of all links from the configuration and this VM's part of
/// the fleet's rates.
void applyLinks(Daemon &daemon, Ppm share);

/// Reserves link bytes for a request to another region.
/// \returns false when the link has no room.
bool reserveLink(Daemon &daemon, const RegionId &region, std::int64_t bytes);

/// Corrects a reservation by what was sent and received.
void settleLink(Daemon &daemon, const RegionId &region, std::int64_t reserved,
                std::int64_t actual);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_LINK_SHARDS_H
