#ifndef SAVORYLB_REGION_SHARES_H
#define SAVORYLB_REGION_SHARES_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>

namespace savorylb {

/// Fraction of this VM's requests that run in each region.
struct RegionShares {
  struct Share {
    /// Average over the last seconds.
    double Recent = 0;
    /// Average over a longer time.
    double LongTerm = 0;
  };
  std::map<RegionId, Share> Shares;
  /// Time of the first request.
  MonoTime StartedAt{};
  MonoTime UpdatedAt{};
};

/// How far the recent share of a region may exceed its long-term share. The
/// share over all VMs may rise by at most 0.15 from one period of 2 s to the
/// next; the long-term share follows by a few hundredths in that time.
constexpr double MaxShareIncrease = 0.03;

/// Records that a request is sent to a region.
void recordRegion(RegionShares &shares, const RegionId &region, MonoTime now);

/// \returns whether the region may receive a larger share of the requests.
bool mayIncreaseShare(const RegionShares &shares, const RegionId &region,
                      MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_REGION_SHARES_H
