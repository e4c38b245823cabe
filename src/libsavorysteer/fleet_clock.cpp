#include "fleet_clock.h"

#include <algorithm>
#include <vector>

namespace savorylb {
namespace {

/// Reports arrive every few seconds; a VM that has stopped no longer counts.
constexpr Duration SampleRetention = Seconds(10);
/// Other VMs without which the median says no more than the own clock.
constexpr std::size_t MinOthers = 3;
/// Delays of reports make the median vary by some 10 ms.
constexpr Duration Tolerance = Millis(50);

Duration offsetOf(WallTime wall, MonoTime now) {
  return Duration(wall.time_since_epoch()) - now.time_since_epoch();
}

} // namespace

void recordWallClock(FleetClock &clock, const VmId &vm, WallTime wall,
                     MonoTime now) {
  clock.Others[vm] = {offsetOf(wall, now), now};
}

void updateFleetClock(FleetClock &clock, WallTime own, MonoTime now) {
  std::vector<Duration> offsets{offsetOf(own, now)};
  for (auto it = clock.Others.begin(); it != clock.Others.end();) {
    if (now - it->second.ReceivedAt > SampleRetention) {
      it = clock.Others.erase(it);
      continue;
    }
    offsets.push_back(it->second.Offset);
    ++it;
  }
  if (offsets.size() > MinOthers) {
    auto middle =
        offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    offsets.front() = *middle;
  } else if (clock.Offset) {
    // The own clock may have jumped since the others were last heard.
    return;
  }
  Duration found = offsets.front();
  if (!clock.Offset || std::chrono::abs(found - *clock.Offset) > Tolerance)
    clock.Offset = found;
}

WallTime fleetTime(const FleetClock &clock, MonoTime now) {
  if (!clock.Offset)
    return {};
  return WallTime(std::chrono::duration_cast<Millis>(now.time_since_epoch() +
                                                     *clock.Offset));
}

} // namespace savorylb
