#include "region_shares.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

constexpr double RecentTimeConstantSeconds = 2;
/// Time constant of the long-term share: LongTermFraction of the time since the
/// first request, at least RecentTimeConstantSeconds and at most
/// MaxLongTermSeconds.
constexpr double MaxLongTermSeconds = 8;
constexpr double LongTermFraction = 0.5;
/// A VM that has just started has no long-term shares yet, so nothing is
/// limited for this long.
constexpr Duration UnlimitedAfterStart = Seconds(2);

double seconds(Duration span) {
  return std::max<double>(0, static_cast<double>(span.count())) / 1e6;
}

} // namespace

void recordRegion(RegionShares &shares, const RegionId &region, MonoTime now) {
  if (shares.StartedAt == MonoTime())
    shares.StartedAt = shares.UpdatedAt = now;
  double span = seconds(now - shares.UpdatedAt);
  double age = seconds(now - shares.StartedAt);
  double timeConstant = std::clamp(
      LongTermFraction * age, RecentTimeConstantSeconds, MaxLongTermSeconds);
  double keepRecent = std::exp(-span / RecentTimeConstantSeconds);
  double keepLongTerm = std::exp(-span / timeConstant);
  shares.UpdatedAt = now;
  shares.Shares.try_emplace(region);
  for (auto &[id, share] : shares.Shares) {
    double here = id == region ? 1 : 0;
    share.Recent = keepRecent * share.Recent + (1 - keepRecent) * here;
    share.LongTerm = keepLongTerm * share.LongTerm + (1 - keepLongTerm) * here;
  }
}

bool mayIncreaseShare(const RegionShares &shares, const RegionId &region,
                      MonoTime now) {
  auto it = shares.Shares.find(region);
  if (it == shares.Shares.end() || now - shares.StartedAt < UnlimitedAfterStart)
    return true;
  // Averages start at 0, so the sums approach 1 only some time after the start.
  double recent = 0;
  double longTerm = 0;
  for (const auto &[id, share] : shares.Shares) {
    recent += share.Recent;
    longTerm += share.LongTerm;
  }
  if (recent <= 0 || longTerm <= 0)
    return true;
  return it->second.Recent / recent <=
         it->second.LongTerm / longTerm + MaxShareIncrease;
}

} // namespace savorylb
