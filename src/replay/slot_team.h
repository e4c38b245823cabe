#ifndef SAVORYLB_REPLAY_SLOT_TEAM_H
#define SAVORYLB_REPLAY_SLOT_TEAM_H

#include "savorylb/ids.h"

namespace savorylb::replay {

/// A team's demand, and what became of it.
struct SlotTeam {
  TeamId Name;
  int Weight = 1;
  double PerSecond = 0;
  /// What its weight gives it while all slots are wanted.
  double SharePerSecond = 0;
  long Sent = 0;
  long Served = 0;
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_SLOT_TEAM_H
