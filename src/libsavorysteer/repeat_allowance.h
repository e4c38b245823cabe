#ifndef SAVORYLB_REPEAT_ALLOWANCE_H
#define SAVORYLB_REPEAT_ALLOWANCE_H

#include "savorylb/units.h"

#include <array>

namespace savorylb {

/// Bounds the repeats that this VM sends to one service as a part of the
/// requests for it, over a sliding window.
struct RepeatAllowance {
  struct Bin {
    std::int64_t Second = -1;
    int Requests = 0;
    int Repeats = 0;
  };
  /// One bin a second; more than any window has.
  std::array<Bin, 32> Bins;
};

/// The bounds over all VMs.
struct RepeatBounds {
  double Ratio = 0.2;
  double Slack = 0;
  Duration Window = Seconds(10);
  int Vms = 1;
};

/// Part of the bounds that is used; the rest covers VMs that differ in what
/// they know of the number of VMs, and requests that count for another second.
constexpr double UsedPart = 0.7;

/// Counts a caller's request for the service.
void countRequest(RepeatAllowance &allowance, MonoTime now);

/// Takes one repeat, if the bounds allow it.
/// \returns whether it may be sent.
bool takeRepeat(RepeatAllowance &allowance, const RepeatBounds &bounds,
                MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_REPEAT_ALLOWANCE_H
