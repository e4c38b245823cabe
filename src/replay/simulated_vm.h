#ifndef SAVORYLB_REPLAY_SIMULATED_VM_H
#define SAVORYLB_REPLAY_SIMULATED_VM_H

#include "savorylb/ownership.h"
#include "savorylb/pending_change.h"

namespace savorylb::replay {

/// A simulated VM with its own clock and its state in the ownership protocol.
struct SimulatedVm {
  VmId Name;
  ZoneId Zone;
  RegionId Region;
  /// Number of starts of the process; part of its incarnation.
  int StartCount = 1;
  bool Up = false;
  /// After the process ended, its endpoint refuses connections, which proves
  /// that it is dead.
  bool RefusesConnections = false;
  bool StoreReachable = false;
  Duration PausedFrom{};
  Duration PausedUntil{};
  /// Offset and rate of the VM's clock relative to the simulation's clock.
  Duration ClockOffset{};
  double ClockRate = 1;
  /// Time of the VM's last tick or start, on the simulation's clock. Stands for
  /// heartbeats that always arrive, even from an isolated zone.
  Duration LastTickAt{};
  Duration StartedAt{};
  /// Owner map of the VM's zone that this VM has adopted.
  ZoneDocument Doc;
  /// Owner maps of all zones as last read by this VM.
  std::map<ZoneId, ZoneDocument> ZoneDocuments;
  Lease OwnLease;
  LeaseGrants Grants;
  PendingChange Pending;
  std::map<std::pair<VmId, Incarnation>, MonoTime> ProvedDeadAt;

  Incarnation incarnation() const {
    return Incarnation(Name.Value + "#" + std::to_string(StartCount));
  }
  /// Converts a time of the simulation to the VM's clock.
  MonoTime clock(Duration now) const {
    return MonoTime(ClockOffset +
                    Duration(static_cast<std::int64_t>(
                        static_cast<double>(now.count()) * ClockRate)));
  }
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_SIMULATED_VM_H
