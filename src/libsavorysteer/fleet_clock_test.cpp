#include "fleet_clock.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(FleetClock) {
  FleetClock Clock;

  static WallTime truth(MonoTime now) {
    return WallTime(Seconds(1'767'000'000) +
                    std::chrono::duration_cast<Millis>(now.time_since_epoch()));
  }
  /// Lets five other VMs report once a second, after a delay.
  /// \returns by how many ms the clock is wrong at the end.
  double run(int from, int to, Millis ownError, Millis delay = Millis(5)) {
    MonoTime now{Seconds(from)};
    for (; now < MonoTime(Seconds(to)); now += Seconds(1)) {
      for (int i = 0; i < 5; ++i)
        recordWallClock(Clock, VmId(std::to_string(i)), truth(now) - delay,
                        now);
      updateFleetClock(Clock, truth(now) + ownError, now);
    }
    return static_cast<double>((fleetTime(Clock, now) - truth(now)).count());
  }
};

// Guards against counts in wrong windows after the step of one VM's clock.
TEST(FleetClock, IgnoresTheStepOfOneClock) {
  run(1, 5, Millis(0));
  recordWallClock(Clock, VmId("5"), WallTime(Millis(0)), MonoTime(Seconds(5)));
  DOUBLES_EQUAL(0, run(5, 30, Millis(-4000)), 50);
}

// Guards against a VM that keeps the wrong clock with which it starts.
TEST(FleetClock, CorrectsAWrongClockAtTheFirstReports) {
  updateFleetClock(Clock, WallTime(), MonoTime(Seconds(1)));
  DOUBLES_EQUAL(0, run(1, 2, Seconds(7)), 50);
}

// Guards against a clock that is set back by the reports that waited in the
// socket during a pause of 8 s.
TEST(FleetClock, IgnoresReportsThatWaitedDuringAPause) {
  run(1, 5, Millis(0));
  DOUBLES_EQUAL(0, run(13, 15, Millis(0), Millis(8000)), 50);
  DOUBLES_EQUAL(0, run(15, 25, Millis(0)), 50);
}
