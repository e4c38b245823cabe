#ifndef SAVORYLB_REPLAY_RANDOM_H
#define SAVORYLB_REPLAY_RANDOM_H

#include <cstdint>
#include <random>

namespace savorylb::replay {

/// Seeded random numbers. The distributions of the standard library are not
/// used: they differ between implementations, which would change the digests.
struct Random {
  std::mt19937_64 Engine;

  explicit Random(std::uint64_t seed) : Engine(seed) {}

  std::int64_t below(std::int64_t n) {
    return static_cast<std::int64_t>(Engine() % static_cast<std::uint64_t>(n));
  }
  /// Uniform in [0, 1).
  double uniform() { return static_cast<double>(Engine() >> 11) * 0x1p-53; }
  bool chance(double probability) { return uniform() < probability; }
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_RANDOM_H
