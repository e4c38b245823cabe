#ifndef SAVORYLB_LOAD_REPORT_H
#define SAVORYLB_LOAD_REPORT_H

#include "savorylb/units.h"

namespace savorylb {

/// What a target's load endpoint said.
struct LoadReport {
  int Slots = 0;
  int Busy = 0;
  bool Draining = false;
  bool Shedding = false;
  /// When the target measured it: the time of arrival less the stated age and
  /// the round trip.
  MonoTime MeasuredAt{};
};

} // namespace savorylb

#endif // SAVORYLB_LOAD_REPORT_H
