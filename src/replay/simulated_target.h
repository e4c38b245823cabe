#ifndef SAVORYLB_REPLAY_SIMULATED_TARGET_H
#define SAVORYLB_REPLAY_SIMULATED_TARGET_H

#include "savorylb/service.h"

namespace savorylb::replay {

/// Actual state of a target; owners see only its load reports.
struct SimulatedTarget {
  TargetSpec Spec;
  int Running = 0;
  bool Draining = false;
  Duration DrainingSince{};
  /// Responds to every request with status 503.
  bool Shedding = false;
  Duration SheddingSince{};
  /// Wrong number of slots in its load reports; -1 when they are correct.
  int ReportedSlots = -1;
  bool SendsReports = true;
  /// Start time of a target that started cold.
  Duration ColdSince{};
  bool Cold = false;
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_SIMULATED_TARGET_H
