#include "usage_schedule.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(UsageSchedule) {
  using Kind = UsageStep::Kind;
  const TeamId Team{"cuka620"};
  UsageSchedule Schedule;
  UsageCollection Collection;

  /// Starts in an era that was first seen 3 s after the end of a window. The
  /// record, of era 1, has window 10 with a count of 3.
  void start(bool accepted, int era = 1, std::int64_t seen = 0) {
    UsageRecord record;
    record.Era = StoreEra(1);
    record.Windows[UsageWindow(10)] = {{{Team, 3}}, accepted};
    startSchedule(Schedule, record, StoreEra(era), after(seen));
  }
  static WallTime after(std::int64_t window, int ms = 3000) {
    return windowEnd(UsageWindow(window), Millis(5000)) + Millis(ms);
  }
  void collect(std::int64_t window, std::int64_t n) {
    UsageWindow at(window);
    applyUsageReport(Collection, {VmId("a"), "s1", n, {{at, {{Team, n}}}}}, at);
  }
  UsageStep step(WallTime time, MonoTime now = MonoTime(Seconds(100))) {
    return nextUsageStep(Schedule, Collection, time, now);
  }
};

// Guards against sending counts that are not in the store or still change.
TEST(UsageSchedule, SettlesBeforeSending) {
  CHECK_TRUE(step(after(11)).What == Kind::None); // The record was not read.
  start(true);
  collect(11, 5);
  CHECK_TRUE(step(after(11, 2999)).What == Kind::None);
  UsageStep settle = step(after(11));
  CHECK_TRUE(settle.What == Kind::Settle && settle.Window == UsageWindow(11));
  Schedule.Record = withWindow(*Schedule.Record, settle.Window, settle.Counts);
  collect(11, 6);
  UsageStep send = step(after(11));
  CHECK_TRUE(send.What == Kind::Send);
  LONGS_EQUAL(5, send.Counts[Team]);
}

// Guards against other counts for a window that an earlier holder settled, and
// against fast repeats while the platform answers 429 for a minute.
TEST(UsageSchedule, RepeatsTheSameCountsAndBacksOff) {
  collect(10, 9);
  std::minstd_rand random{1};
  int calls = 0;
  for (MonoTime now(Seconds(100)); now < MonoTime(Seconds(160));
       now += Millis(100)) {
    start(false); // As after an unanswered write of the record.
    UsageStep send = step(after(10), now);
    if (send.What != Kind::Send)
      continue;
    LONGS_EQUAL(3, send.Counts[Team]);
    recordUsageAnswer(Schedule, send.Window, UsageAnswer::Refused, 50, random,
                      now);
    ++calls;
  }
  CHECK_TRUE(calls >= 20 && calls <= 45);
}

// Guards against other counts for windows that a restored store has lost.
TEST(UsageSchedule, SkipsWindowsThatARestoredStoreMayHaveLost) {
  start(true, 2, 14);
  UsageStep settle = step(after(15));
  CHECK_TRUE(settle.What == Kind::Settle && settle.Window == UsageWindow(15));
  startSchedule(Schedule, std::nullopt, StoreEra(2), after(14));
  LONGS_EQUAL(15, step(after(15)).Window.Value);
}

// Guards against empty reports of windows that the VMs have forgotten.
TEST(UsageSchedule, SkipsForgottenWindows) {
  start(true);
  collect(25, 4);
  UsageStep settle = step(after(29));
  LONGS_EQUAL(25, settle.Window.Value);
  LONGS_EQUAL(4, settle.Counts[Team]);
  LONGS_EQUAL(14, settle.Skipped);
}

// Guards against a window that a new holder settles before the VMs know it and
// have sent their counts.
TEST(UsageSchedule, NewHolderSettlesWithoutTheCounts) {
  start(true);
  MonoTime claimed(Seconds(100));
  Schedule.SettleFrom = claimed + CollectionDelay;
  CHECK_TRUE(step(after(11), claimed + Seconds(1)).What == Kind::None);
  CHECK_TRUE(step(after(11), claimed + CollectionDelay).What == Kind::Settle);
}
