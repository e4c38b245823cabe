#ifndef SAVORYLB_UNITS_H
#define SAVORYLB_UNITS_H

#include <chrono>
#include <cstdint>

namespace savorylb {

/// A time span. Microseconds are precise enough for decisions and keep traces
/// readable.
using Duration = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Clock tag of the time since boot, which advances while the process is
/// paused. It has no now(): the library gets the time from its caller.
struct MonoClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonoClock>;
};
using MonoTime = MonoClock::time_point;

/// Clock tag of the wall clock, used for schedules set by operators.
struct WallClock {
  using duration = Millis;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<WallClock>;
};
using WallTime = WallClock::time_point;

/// An integer with a unit; values of different units cannot be mixed.
template <typename Tag> struct Quantity {
  std::int64_t Value = 0;

  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t value) : Value(value) {}

  constexpr Quantity &operator+=(Quantity other) {
    Value += other.Value;
    return *this;
  }
  constexpr Quantity &operator-=(Quantity other) {
    Value -= other.Value;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) {
    return Quantity(a.Value + b.Value);
  }
  friend constexpr Quantity operator-(Quantity a, Quantity b) {
    return Quantity(a.Value - b.Value);
  }
  friend constexpr bool operator==(Quantity a, Quantity b) {
    return a.Value == b.Value;
  }
  friend constexpr bool operator!=(Quantity a, Quantity b) {
    return a.Value != b.Value;
  }
  friend constexpr bool operator<(Quantity a, Quantity b) {
    return a.Value < b.Value;
  }
  friend constexpr bool operator<=(Quantity a, Quantity b) {
    return a.Value <= b.Value;
  }
  friend constexpr bool operator>(Quantity a, Quantity b) {
    return a.Value > b.Value;
  }
  friend constexpr bool operator>=(Quantity a, Quantity b) {
    return a.Value >= b.Value;
  }
};

/// Parts per million of a whole.
using Ppm = Quantity<struct PpmTag>;
/// Millionths of a token; one request costs 1,000,000.
using MicroTokens = Quantity<struct MicroTokensTag>;
using ByteCount = Quantity<struct ByteCountTag>;

constexpr Ppm WholePpm{1'000'000};
constexpr MicroTokens OneToken{1'000'000};

/// Revision of a document in the store. See StorePosition for stores that may
/// come back from an older copy.
using Revision = Quantity<struct RevisionTag>;

} // namespace savorylb

#endif // SAVORYLB_UNITS_H
