#ifndef SAVORYLB_LATENCY_WINDOW_H
#define SAVORYLB_LATENCY_WINDOW_H

#include "savorylb/units.h"

#include <cstddef>
#include <vector>

namespace savorylb {

/// Recent latencies of the old version, from which the threshold for slow
/// requests is computed.
struct LatencyWindow {
  std::vector<Duration> Recent;
  /// Index in Recent that the next latency overwrites.
  std::size_t Next = 0;
  /// 90th percentile of Recent, recomputed every few requests; zero while there
  /// are too few samples.
  Duration Threshold{};
};

} // namespace savorylb

#endif // SAVORYLB_LATENCY_WINDOW_H
