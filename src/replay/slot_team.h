#ifndef SAVORYLB_REPLAY_SLOT_TEAM_H
#define SAVORYLB_REPLAY_SLOT_TEAM_H

#include "savorylb/ids.h"

namespace savorylb::replay {

/// A team's demand and the number of its requests that were served.
struct SlotTeam {
  TeamId Name;
  int Weight = 1;
  double DemandPerSecond = 0;
  /// The part of the total capacity that its weight guarantees when all teams
  /// have more demand than that, in requests a second.
  double SharePerSecond = 0;
  long Sent = 0;
  long Served = 0;
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_SLOT_TEAM_H
