#ifndef SAVORYLB_REPLAY_SLOT_SIMULATION_H
#define SAVORYLB_REPLAY_SLOT_SIMULATION_H

#include "decision_log.h"
#include "random.h"
#include "simulated_target.h"
#include "slot_owner.h"
#include "slot_request.h"
#include "slot_team.h"
#include "virtual_clock.h"

#include <map>
#include <set>
#include <vector>

namespace savorylb::replay {

/// The owners of one service's targets, and the actual state of the targets.
struct SlotSimulation {
  VirtualClock Clock;
  Random Rand;
  DecisionLog &Log;
  ServiceSpec Service;
  Duration MessageDelay{};
  Duration MeanServiceTime{};
  Duration RequestTimeout{};
  Duration ReportDelay{};
  Duration MeasureFrom{};
  std::vector<SlotOwner> Owners;
  std::map<TargetId, SimulatedTarget> Targets;
  std::map<TargetId, std::size_t> OwnerOf;
  std::vector<SlotTeam> Teams;
  std::set<int> CrashedForwarders;
  /// Requests queued at each owner, by ticket.
  std::vector<std::map<std::uint64_t, SlotRequest>> Waiting;
  std::uint64_t Requests = 0;
  /// Requests started beyond the slots of the target.
  long OverSlots = 0;
  /// Requests started beyond the limit of a target that warms up.
  long OverWarmLimit = 0;
  /// Requests started on a target later than WithdrawalTimeLimit after it began
  /// to drain.
  long LateOnDeparting = 0;
  /// Requests shed by a target later than WithdrawalTimeLimit after it began to
  /// shed.
  long LateSheds = 0;
  /// Requests refused without waiting although they could have been served in
  /// time.
  long UnjustifiedRefusals = 0;
  /// All requests refused without waiting.
  long RefusedAtOnce = 0;
  /// Requests that got a slot too late to finish before their deadline.
  long LateSlots = 0;
  /// Busy slots of targets that neither drain nor shed, integrated over time
  /// from MeasureFrom to UsageMeasuredAt, in slots times microseconds.
  double BusyTime = 0;
  /// Available slots of the same targets, integrated in the same way.
  double OfferedTime = 0;
  Duration UsageMeasuredAt{};

  SlotSimulation(std::uint64_t seed, DecisionLog &log) : Rand(seed), Log(log) {}
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_SLOT_SIMULATION_H
