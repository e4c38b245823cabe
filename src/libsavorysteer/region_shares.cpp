#include "region_shares.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

constexpr double RecentSeconds = 2;
/// The settled share's memory grows with the time that was seen.
constexpr double MaxSettledSeconds = 8;
constexpr double SettledPart = 0.5;
/// A VM that has just started knows no settled shares.
constexpr Duration FreeAfterStart = Seconds(2);

double seconds(Duration span) {
  return std::max<double>(0, static_cast<double>(span.count())) / 1e6;
}

} // namespace

void noteRegion(RegionShares &shares, const RegionId &region, MonoTime now) {
  if (shares.Begun == MonoTime())
    shares.Begun = shares.NotedAt = now;
  double span = seconds(now - shares.NotedAt);
  double age = seconds(now - shares.Begun);
  double memory =
      std::clamp(SettledPart * age, RecentSeconds, MaxSettledSeconds);
  double keepRecent = std::exp(-span / RecentSeconds);
  double keepSettled = std::exp(-span / memory);
  shares.NotedAt = now;
  shares.Shares.try_emplace(region);
  for (auto &[id, share] : shares.Shares) {
    double here = id == region ? 1 : 0;
    share.Recent = keepRecent * share.Recent + (1 - keepRecent) * here;
    share.Settled = keepSettled * share.Settled + (1 - keepSettled) * here;
  }
}

bool regionMayGrow(const RegionShares &shares, const RegionId &region,
                   MonoTime now) {
  auto it = shares.Shares.find(region);
  if (it == shares.Shares.end() || now - shares.Begun < FreeAfterStart)
    return true;
  // The sums near one only some time after the start.
  double recent = 0;
  double settled = 0;
  for (const auto &[id, share] : shares.Shares) {
    recent += share.Recent;
    settled += share.Settled;
  }
  if (recent <= 0 || settled <= 0)
    return true;
  return it->second.Recent / recent <=
         it->second.Settled / settled + MaxShareRise;
}

} // namespace savorylb
