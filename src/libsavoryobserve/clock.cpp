#include "savorylb/clock.h"

#include <ctime>

namespace savorylb {

MonoTime monoNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return MonoTime(Duration(ts.tv_sec * 1'000'000LL + ts.tv_nsec / 1000));
}

WallTime wallNow() {
  timespec ts{};
  clock_gettime(CLOCK_REALTIME, &ts);
  return WallTime(Millis(ts.tv_sec * 1000LL + ts.tv_nsec / 1'000'000));
}

} // namespace savorylb
