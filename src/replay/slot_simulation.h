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
  /// Starts beyond the slots of the target, and beyond the limit while it warms
  /// up.
  long OverSlots = 0;
  long OverWarmLimit = 0;
  /// Starts on draining targets, and requests shed by targets, later than
  /// WithdrawalTimeLimit after the target began to drain or to shed.
  long LateOnDeparting = 0;
  long LateSheds = 0;
  /// Requests refused without waiting although they could have been served in
  /// time, and all requests refused without waiting.
  long UnjustifiedRefusals = 0;
  long RefusedAtOnce = 0;
  /// Requests that got a slot too late to finish before their deadline.
  long LateSlots = 0;
  /// Busy and available slots, integrated over time up to UsageMeasuredAt, in
  /// slots times microseconds.
  double BusyTime = 0;
  double OfferedTime = 0;
  Duration UsageMeasuredAt{};

  SlotSimulation(std::uint64_t seed, DecisionLog &log) : Rand(seed), Log(log) {}
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_SLOT_SIMULATION_H
