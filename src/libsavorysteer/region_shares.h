#ifndef SAVORYLB_REGION_SHARES_H
#define SAVORYLB_REGION_SHARES_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>

namespace savorylb {

/// Parts of a VM's requests that run in each region.
struct RegionShares {
  struct Share {
    /// Over the last seconds, and over a longer time.
    double Recent = 0;
    double Settled = 0;
  };
  std::map<RegionId, Share> Shares;
  MonoTime Begun{};
  MonoTime NotedAt{};
};

/// How far the recent share of a region may lie above its settled one. The
/// bound over all VMs is 0.15 from one span of 2 s to the next; the settled
/// share follows by a few hundredths in that time.
constexpr double MaxShareRise = 0.03;

/// Notes that a request is sent to a region.
void noteRegion(RegionShares &shares, const RegionId &region, MonoTime now);

/// \returns whether more requests may go to the region now.
bool regionMayGrow(const RegionShares &shares, const RegionId &region,
                   MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_REGION_SHARES_H
