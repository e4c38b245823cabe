#ifndef SAVORYLB_LOAD_REPORT_H
#define SAVORYLB_LOAD_REPORT_H

#include "savorylb/units.h"

namespace savorylb {

/// Answer of a target's load endpoint.
struct LoadReport {
  int Slots = 0;
  int Busy = 0;
  bool Draining = false;
  bool Shedding = false;
  /// When the target measured it: the time of arrival minus the reported age
  /// and the round trip.
  MonoTime MeasuredAt{};
};

} // namespace savorylb

#endif // SAVORYLB_LOAD_REPORT_H
