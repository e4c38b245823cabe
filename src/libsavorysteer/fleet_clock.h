#ifndef SAVORYLB_FLEET_CLOCK_H
#define SAVORYLB_FLEET_CLOCK_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>
#include <optional>

namespace savorylb {

/// The wall clock, corrected by those of the other VMs: a VM's own may jump by
/// seconds in either direction, while the time since boot is steady.
struct FleetClock {
  struct Sample {
    /// The VM's wall clock minus this VM's time since boot.
    Duration Offset{0};
    MonoTime ReceivedAt{};
  };
  std::map<VmId, Sample> Others;
  /// Wall clock minus time since boot, as used.
  std::optional<Duration> Offset;
  /// Offset is a median, not the own clock.
  bool Agreed = false;
  /// Since when the median has differed from Offset.
  std::optional<MonoTime> DiffersSince;
};

/// Records the wall clock that another VM has reported.
void recordWallClock(FleetClock &clock, const VmId &vm, WallTime wall,
                     MonoTime now);

/// Sets the clock to the median of the recent wall clocks, including this VM's
/// own; to the own one while fewer than three others are known. A median that
/// differs little from the clock, or only for a few seconds, does not change
/// it. \param own this VM's wall clock.
void updateFleetClock(FleetClock &clock, WallTime own, MonoTime now);

/// \returns the corrected wall clock; the epoch before the first update.
WallTime fleetTime(const FleetClock &clock, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_FLEET_CLOCK_H
