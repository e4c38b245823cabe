#ifndef SAVORYLB_REPLAY_TRUE_TARGET_H
#define SAVORYLB_REPLAY_TRUE_TARGET_H

#include "savorylb/service.h"

namespace savorylb::replay {

/// A target as it really is; owners only see its reports.
struct TrueTarget {
  TargetSpec Spec;
  int Running = 0;
  bool Draining = false;
  Duration DrainingSince{};
  /// Answers 503 to everything.
  bool Shedding = false;
  Duration SheddingSince{};
  /// What its reports say instead of its slots; -1 when they are right.
  int ClaimedSlots = -1;
  bool Reports = true;
  /// When it started cold.
  Duration ColdSince{};
  bool Cold = false;
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_TRUE_TARGET_H
