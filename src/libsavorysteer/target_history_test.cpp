#include "target_history.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};

TargetEntry entry(std::int64_t sequence, bool draining = false,
                  std::int64_t startId = 1) {
  TargetEntry it;
  it.Id = TargetId("i-1");
  it.Sequence = sequence;
  it.Draining = draining;
  it.StartId = startId;
  return it;
}

} // namespace

TEST_GROUP(TargetHistory){};

// Guards against using a draining target by an entry of before.
TEST(TargetHistory, OlderEntryOfAStartIsOutdated) {
  TargetEntry known = entry(12, true);
  CHECK_TRUE(isOutdated({}, &known, entry(11), Start));
  CHECK_TRUE(isOutdated({}, &known, entry(12), Start));
  CHECK_FALSE(isOutdated({}, &known, entry(12, true), Start));
  CHECK_FALSE(isOutdated({}, &known, entry(13), Start));
  known = entry(12);
  CHECK_FALSE(isOutdated({}, &known, entry(12, true), Start));
}

// Guards against ignoring a target that has started again.
TEST(TargetHistory, NewStartIsNotOutdated) {
  TargetEntry known = entry(12);
  CHECK_FALSE(isOutdated({}, &known, entry(1, false, 2), Start));
}

// Guards against using a target that has left, and against ignoring one whose
// lease had only lapsed.
TEST(TargetHistory, EntryOfBeforeADepartureIsOutdated) {
  TargetHistory history;
  recordDeparture(history, entry(12), Start);
  CHECK_TRUE(isOutdated(history, nullptr, entry(12), Start));
  CHECK_FALSE(isOutdated(history, nullptr, entry(13), Start));
  CHECK_FALSE(isOutdated(history, nullptr, entry(1, false, 2), Start));
  // The history is bounded in time.
  CHECK_FALSE(isOutdated(history, nullptr, entry(12), Start + Seconds(61)));
}

// Guards against returning to an earlier start of a target.
TEST(TargetHistory, SupersededStartIsOutdated) {
  TargetHistory history;
  recordRestart(history, entry(12), Start);
  TargetEntry known = entry(1, false, 2);
  CHECK_TRUE(isOutdated(history, &known, entry(15), Start));
  CHECK_FALSE(isOutdated(history, &known, entry(1, false, 3), Start));
}

// Guards against a history that grows without bound.
TEST(TargetHistory, IsBoundedInCount) {
  TargetHistory history;
  for (int i = 0; i < 5000; ++i)
    recordDeparture(history, entry(i), Start);
  CHECK_TRUE(history.size() <= 1024);
}
