#ifndef SAVORYLB_REPLAY_REPLAY_VM_H
#define SAVORYLB_REPLAY_REPLAY_VM_H

#include "savorylb/ownership.h"
#include "savorylb/pending_change.h"

namespace savorylb::replay {

/// One VM with its own clock and its part in the ownership protocol.
struct ReplayVm {
  VmId Name;
  ZoneId Zone;
  RegionId Region;
  int Lives = 1;
  bool Up = false;
  /// The ended process's endpoint refuses connections, which proves death.
  bool Refuses = false;
  bool StoreReachable = false;
  Duration PausedFrom{};
  Duration PausedUntil{};
  /// The VM's clock against true time.
  Duration Offset{};
  double Speed = 1;
  /// When peers last heard from it, in true time.
  Duration LastHeard{};
  Duration StartedAt{};
  ZoneDocument Doc;
  /// Owner maps of all zones as this VM last read them.
  std::map<ZoneId, ZoneDocument> Maps;
  Lease Own;
  LeaseGrants Grants;
  PendingChange Pending;
  std::map<std::pair<VmId, Incarnation>, MonoTime> ProvedDeadAt;

  Incarnation life() const {
    return Incarnation(Name.Value + "#" + std::to_string(Lives));
  }
  MonoTime clock(Duration now) const {
    return MonoTime(Offset + Duration(static_cast<std::int64_t>(
                                 static_cast<double>(now.count()) * Speed)));
  }
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_REPLAY_VM_H
