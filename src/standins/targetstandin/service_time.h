#ifndef SAVORYLB_STANDINS_SERVICE_TIME_H
#define SAVORYLB_STANDINS_SERVICE_TIME_H

#include <cstdint>

namespace savorylb::standin {

/// Distribution of the time for which a request occupies its slot.
struct ServiceTime {
  std::int64_t MeanMicros = 10'000;
  /// Exponential distribution when true; otherwise always the mean.
  bool Exponential = true;
  std::uint64_t Seed = 1;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_SERVICE_TIME_H
