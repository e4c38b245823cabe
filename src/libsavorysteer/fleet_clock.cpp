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
/// After a pause a VM first reads reports that have waited in its socket and
/// seem to show slow clocks. Newer ones of most VMs arrive within this time.
constexpr Duration ChangeDelay = Millis(4000);

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
  bool agreed = offsets.size() > MinOthers;
  if (agreed) {
    auto middle =
        offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    offsets.front() = *middle;
  } else if (clock.Offset) {
    // The own clock may have jumped since the others were last heard.
    clock.DiffersSince.reset();
    return;
  }
  Duration found = offsets.front();
  if (clock.Offset && std::chrono::abs(found - *clock.Offset) <= Tolerance) {
    clock.DiffersSince.reset();
  } else if (clock.Offset && clock.Agreed &&
             now - clock.DiffersSince.value_or(now) < ChangeDelay) {
    clock.DiffersSince = clock.DiffersSince.value_or(now);
    return;
  } else {
    clock.Offset = found;
    clock.DiffersSince.reset();
  }
  clock.Agreed = agreed;
}

WallTime fleetTime(const FleetClock &clock, MonoTime now) {
  if (!clock.Offset)
    return {};
  return WallTime(std::chrono::duration_cast<Millis>(now.time_since_epoch() +
                                                     *clock.Offset));
}

} // namespace savorylb
