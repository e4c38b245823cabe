#ifndef SAVORYLB_STANDINS_SERVICE_TIME_H
#define SAVORYLB_STANDINS_SERVICE_TIME_H

#include <cstdint>

namespace savorylb::standin {

/// How long a request holds its slot, and what the time is drawn from.
struct ServiceTime {
  std::int64_t MeanMicros = 10'000;
  /// Exponential when true, else always the mean.
  bool Exponential = true;
  std::uint64_t Seed = 1;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_SERVICE_TIME_H
