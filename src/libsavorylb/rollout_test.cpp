#include "savorylb/rollout.h"

#include "rollout_sim.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

RolloutRecord makeRecord(RolloutPhase phase, std::int64_t rev,
                         std::int64_t share) {
  RolloutRecord result;
  result.Name = RolloutId("r1");
  result.Service = ServiceId("tiles");
  result.Rev = Revision(rev);
  result.Phase = phase;
  result.Share = Ppm(share);
  return result;
}

int countNewVersion(Rollout &rollout, int requests) {
  int count = 0;
  for (int i = 0; i < requests; ++i)
    count += chooseVersion(rollout, RouteId("a")) == rollout.Spec.To ? 1 : 0;
  return count;
}

} // namespace

TEST_GROUP(Rollout){};

// Guards against losing a field when a record is written to the store.
TEST(Rollout, RecordSurvivesJson) {
  RolloutRecord own = makeRecord(RolloutPhase::Late, 9, 50'000);
  own.Proven = true;
  own.RaisedAt = WallTime(Millis(1'700'000'000'123));
  own.Reason = "a \"quoted\" reason";
  own.From = VersionId("v1");
  own.To = VersionId("v2");
  own.RolledBackVersions = {VersionId("v0"), VersionId("v2")};
  auto parsed = parseRolloutRecord(formatRolloutRecord(own));
  CHECK(parsed.has_value());
  STRCMP_EQUAL(formatRolloutRecord(own).c_str(),
               formatRolloutRecord(parsed.value()).c_str());
  for (const char *text : {"", "{}", "[]", "{\"id\":\"r\"}"})
    CHECK(parseRolloutRecord(text).error().Code == ErrorCode::Malformed);
  std::string bad = formatRolloutRecord(own);
  bad.replace(bad.find("50000"), 5, "1000001");
  CHECK(parseRolloutRecord(bad).has_error());
}

// Guards against exceeding the cap when a record has a larger share, through a
// fault or an operator. A rollout never exceeds its cap.
TEST(Rollout, ShareStaysBelowTheCapUntilProven) {
  Rollout rollout = makeSimRollout(60);
  adoptRecord(rollout, makeRecord(RolloutPhase::Running, 1, 500'000));
  LONGS_EQUAL(50, countNewVersion(rollout, 1000));
  RolloutRecord proven = makeRecord(RolloutPhase::Running, 2, 500'000);
  proven.Proven = true;
  adoptRecord(rollout, proven);
  LONGS_EQUAL(500, countNewVersion(rollout, 1000));
}

// Guards against late writes that undo a rollback, and against shares that fall
// and rise again.
TEST(Rollout, FinalPhasesStay) {
  Rollout rollout = makeSimRollout(60);
  CHECK(adoptRecord(rollout, makeRecord(RolloutPhase::Running, 5, 50'000)));
  CHECK_FALSE(
      adoptRecord(rollout, makeRecord(RolloutPhase::Running, 4, 90'000)));
  CHECK(adoptRecord(rollout, makeRecord(RolloutPhase::Waiting, 6, 10'000)));
  CHECK(rollout.Record.Phase == RolloutPhase::Running);
  LONGS_EQUAL(50'000, rollout.Record.Share.Value);
  // A rollback is adopted even if its revision is older.
  CHECK(adoptRecord(rollout, makeRecord(RolloutPhase::RolledBack, 3, 0)));
  LONGS_EQUAL(0, countNewVersion(rollout, 1000));
  for (auto phase : {RolloutPhase::Running, RolloutPhase::Done}) {
    CHECK_FALSE(adoptRecord(rollout, makeRecord(phase, 99, 1'000'000)));
    LONGS_EQUAL(0, countNewVersion(rollout, 1000));
  }
  CHECK_FALSE(planRollout(rollout, WallTime(Millis(30'000))).has_value());

  Rollout done = makeSimRollout(60);
  adoptRecord(done, makeRecord(RolloutPhase::Done, 5, 1'000'000));
  CHECK_FALSE(adoptRecord(done, makeRecord(RolloutPhase::RolledBack, 6, 0)));
  LONGS_EQUAL(100, countNewVersion(done, 100));
  CHECK_FALSE(planRollout(done, WallTime(Millis(30'000))).has_value());
}

// Guards against further requests to a version that a peer stopped, and against
// a rollback that is not written to the store.
TEST(Rollout, StopFlagActsAtOnce) {
  Rollout rollout = makeSimRollout(60);
  adoptRecord(rollout, makeRecord(RolloutPhase::Running, 1, 50'000));
  countNewVersion(rollout, 19);
  CHECK(mergePeerEvidence(rollout, VmId("p"), RouteId("a"), {}, {}, true));
  LONGS_EQUAL(0, countNewVersion(rollout, 1000));
  auto next = planRollout(rollout, WallTime(Millis(2000)));
  CHECK(next.has_value() && next->Phase == RolloutPhase::RolledBack);
  LONGS_EQUAL(2, next->Rev.Value);
  CHECK(next->Reason.find('p') != std::string::npos);
  CHECK(next->From == VersionId("v1") && next->To == VersionId("v2"));
  CHECK(next->RolledBackVersions.count(VersionId("v2")) == 1);
  // A raise that the store recorded in the meantime does not restart it.
  adoptRecord(rollout, makeRecord(RolloutPhase::Running, 2, 60'000));
  LONGS_EQUAL(0, countNewVersion(rollout, 1000));
  CHECK(planRollout(rollout, WallTime(Millis(2000)))->Phase ==
        RolloutPhase::RolledBack);
}

// Guards against counting repeated or reordered heartbeats twice.
TEST(Rollout, MergeIsIdempotent) {
  Rollout rollout = makeSimRollout(60);
  adoptRecord(rollout, makeRecord(RolloutPhase::Running, 1, 50'000));
  countNewVersion(rollout, 1);
  VersionCounts first{100, 1, 5, 1};
  VersionCounts second{200, 2, 10, 2};
  for (int i = 0; i < 100; ++i) {
    mergePeerEvidence(rollout, VmId("p"), RouteId("a"), first, first, false);
    mergePeerEvidence(rollout, VmId("p"), RouteId("a"), second, second, false);
    mergePeerEvidence(rollout, VmId("q"), RouteId("a"), first, first, false);
  }
  CHECK_FALSE(rollout.Stopped);
  LONGS_EQUAL(15, rollout.Pooled.Failures.NewTotal);
  LONGS_EQUAL(3, rollout.Routes[RouteId("a")].Tests.Failures.NewBad);
  LONGS_EQUAL(0, rollout.Routes[RouteId("a")].OwnFailures.NewTotal);
  // Enough failures reported by several peers stop the rollout on this VM too.
  bool stopped = false;
  for (const char *peer : {"u", "v", "w", "x"})
    stopped |= mergePeerEvidence(rollout, VmId(peer), RouteId("a"),
                                 {40, 0, 3, 3}, {}, false);
  CHECK(stopped);
}

// Guards against a rollout that is reported as late only at its deadline, and
// against a schedule that raises the share above the cap before the version is
// accepted.
TEST(Rollout, LateIsReportedEarly) {
  Rollout rollout = makeSimRollout(600);
  // Two requests per minute are too few for a verdict in ten minutes.
  WallTime reported{};
  for (int second = 0; second < 600; ++second) {
    WallTime now(Millis(1000 + second * 1000));
    if (auto next = planRollout(rollout, now))
      adoptRecord(rollout, *next);
    if (second % 30 == 0)
      observeResult(rollout, RouteId("a"), chooseVersion(rollout, RouteId("a")),
                    false, Millis(10));
    CHECK(rollout.Record.Share <= rollout.Spec.Cap);
    if (rollout.Record.Phase == RolloutPhase::Late && reported == WallTime())
      reported = now;
  }
  CHECK(reported > WallTime() && reported < WallTime(Millis(301'000)));
  // A rollout that is too short for its steps is late immediately.
  Rollout shortOne = makeSimRollout(3);
  adoptRecord(shortOne, *planRollout(shortOne, WallTime(Millis(1000))));
  CHECK(shortOne.Record.Phase == RolloutPhase::Late);
}

// Guards against a rollout that is reported as late at its start, when there
// was no raise yet.
TEST(Rollout, StartIsNotLate) {
  Rollout rollout = makeSimRollout(60);
  WallTime now(std::chrono::duration_cast<Millis>(std::chrono::hours(500'000)));
  rollout.Spec.Start = now - Millis(500);
  rollout.Spec.Deadline = now + Millis(40'000);
  auto next = planRollout(rollout, now);
  CHECK(next && next->Phase == RolloutPhase::Running);
}
