#ifndef SAVORYLB_LATENCY_WINDOW_H
#define SAVORYLB_LATENCY_WINDOW_H

#include "savorylb/units.h"

#include <cstddef>
#include <vector>

namespace savorylb {

/// Latencies of the old version, to tell slow requests.
struct LatencyWindow {
  std::vector<Duration> Recent;
  std::size_t Next = 0;
  /// 90th percentile of Recent, renewed every few requests; zero while there
  /// are too few.
  Duration Threshold{};
};

} // namespace savorylb

#endif // SAVORYLB_LATENCY_WINDOW_H
