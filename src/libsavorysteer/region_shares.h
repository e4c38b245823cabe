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

/// The same for a region that receives requests of another region. A VM sends
/// few requests in 2 s, so its shares vary by some hundredths by chance; over
/// all VMs, the share must not rise by 0.15 in that time.
constexpr double MaxOutflowIncrease = 0.1;

/// Records that a request is sent to a region.
void recordRegion(RegionShares &shares, const RegionId &region, MonoTime now);

/// \param maxIncrease how far the recent share may exceed the long-term share.
/// \returns whether the region may receive a larger share of the requests.
bool mayIncreaseShare(const RegionShares &shares, const RegionId &region,
                      MonoTime now, double maxIncrease = MaxShareIncrease);

} // namespace savorylb

#endif // SAVORYLB_REGION_SHARES_H
