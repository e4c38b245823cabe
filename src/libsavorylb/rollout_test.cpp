#include "savorylb/rollout.h"

#include "rollout_sim.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

RolloutRecord record(RolloutPhase phase, std::int64_t rev, std::int64_t share) {
  RolloutRecord result;
  result.Name = RolloutId("r1");
  result.Service = ServiceId("tiles");
  result.Rev = Revision(rev);
  result.Phase = phase;
  result.Share = Ppm(share);
  return result;
}

int newOf(Rollout &rollout, int requests) {
  int count = 0;
  for (int i = 0; i < requests; ++i)
    count += chooseVersion(rollout, RouteId("a")) == rollout.Spec.To ? 1 : 0;
  return count;
}

} // namespace

TEST_GROUP(Rollout){};

// Guards against a record that loses a field in the store.
TEST(Rollout, RecordSurvivesJson) {
  RolloutRecord own = record(RolloutPhase::Late, 9, 50'000);
  own.Proven = true;
  own.RaisedAt = WallTime(Millis(1'700'000'000'123));
  own.Reason = "a \"quoted\" reason";
  own.From = VersionId("v1");
  own.To = VersionId("v2");
  own.TakenBack = {VersionId("v0"), VersionId("v2")};
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

// Guards against a record, by an error or an operator, above the cap (P1).
TEST(Rollout, ShareStaysBelowTheCapUntilProven) {
  Rollout rollout = simRollout(60);
  adoptRecord(rollout, record(RolloutPhase::Running, 1, 500'000));
  LONGS_EQUAL(50, newOf(rollout, 1000));
  RolloutRecord proven = record(RolloutPhase::Running, 2, 500'000);
  proven.Proven = true;
  adoptRecord(rollout, proven);
  LONGS_EQUAL(500, newOf(rollout, 1000));
}

// Guards against late writes that undo a take-back, and against shares that
// fall and rise again.
TEST(Rollout, FinalPhasesStay) {
  Rollout rollout = simRollout(60);
  CHECK(adoptRecord(rollout, record(RolloutPhase::Running, 5, 50'000)));
  CHECK_FALSE(adoptRecord(rollout, record(RolloutPhase::Running, 4, 90'000)));
  CHECK(adoptRecord(rollout, record(RolloutPhase::Waiting, 6, 10'000)));
  CHECK(rollout.Record.Phase == RolloutPhase::Running);
  LONGS_EQUAL(50'000, rollout.Record.Share.Value);
  // A take-back counts even when its revision is older.
  CHECK(adoptRecord(rollout, record(RolloutPhase::TakenBack, 3, 0)));
  LONGS_EQUAL(0, newOf(rollout, 1000));
  for (auto phase : {RolloutPhase::Running, RolloutPhase::Done}) {
    CHECK_FALSE(adoptRecord(rollout, record(phase, 99, 1'000'000)));
    LONGS_EQUAL(0, newOf(rollout, 1000));
  }
  CHECK_FALSE(planRollout(rollout, WallTime(Millis(30'000))).has_value());

  Rollout done = simRollout(60);
  adoptRecord(done, record(RolloutPhase::Done, 5, 1'000'000));
  CHECK_FALSE(adoptRecord(done, record(RolloutPhase::TakenBack, 6, 0)));
  LONGS_EQUAL(100, newOf(done, 100));
  CHECK_FALSE(planRollout(done, WallTime(Millis(30'000))).has_value());
}

// Guards against new requests to a version that a peer stopped, and against a
// take-back that is not written.
TEST(Rollout, StopFlagActsAtOnce) {
  Rollout rollout = simRollout(60);
  adoptRecord(rollout, record(RolloutPhase::Running, 1, 50'000));
  newOf(rollout, 19);
  CHECK(mergeEvidence(rollout, VmId("p"), RouteId("a"), {}, {}, true));
  LONGS_EQUAL(0, newOf(rollout, 1000));
  auto next = planRollout(rollout, WallTime(Millis(2000)));
  CHECK(next.has_value() && next->Phase == RolloutPhase::TakenBack);
  LONGS_EQUAL(2, next->Rev.Value);
  CHECK(next->Reason.find('p') != std::string::npos);
  CHECK(next->From == VersionId("v1") && next->To == VersionId("v2"));
  CHECK(next->TakenBack.count(VersionId("v2")) == 1);
  // A store that has meanwhile recorded a raise does not start it again.
  adoptRecord(rollout, record(RolloutPhase::Running, 2, 60'000));
  LONGS_EQUAL(0, newOf(rollout, 1000));
  CHECK(planRollout(rollout, WallTime(Millis(2000)))->Phase ==
        RolloutPhase::TakenBack);
}

// Guards against heartbeats that count twice when repeated or reordered.
TEST(Rollout, MergeIsIdempotent) {
  Rollout rollout = simRollout(60);
  adoptRecord(rollout, record(RolloutPhase::Running, 1, 50'000));
  newOf(rollout, 1);
  VersionCounts first{100, 1, 5, 1};
  VersionCounts second{200, 2, 10, 2};
  for (int i = 0; i < 100; ++i) {
    mergeEvidence(rollout, VmId("p"), RouteId("a"), first, first, false);
    mergeEvidence(rollout, VmId("p"), RouteId("a"), second, second, false);
    mergeEvidence(rollout, VmId("q"), RouteId("a"), first, first, false);
  }
  CHECK_FALSE(rollout.Stopped);
  LONGS_EQUAL(15, rollout.Pooled.Failures.NewTotal);
  LONGS_EQUAL(3, rollout.Routes[RouteId("a")].Tests.Failures.NewBad);
  LONGS_EQUAL(0, rollout.Routes[RouteId("a")].Failures.NewTotal);
  // Enough failures over several peers stop it here too.
  bool stopped = false;
  for (const char *peer : {"u", "v", "w", "x"})
    stopped |= mergeEvidence(rollout, VmId(peer), RouteId("a"), {40, 0, 3, 3},
                             {}, false);
  CHECK(stopped);
}

// Guards against a rollout that is reported late only at its deadline, and
// against a schedule that raises the share above the cap without proof.
TEST(Rollout, LateIsReportedEarly) {
  Rollout rollout = simRollout(600);
  // Two requests a minute cannot prove anything in ten minutes.
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
  // A start after the deadline less the shortest steps is late at once.
  Rollout shortOne = simRollout(3);
  adoptRecord(shortOne, *planRollout(shortOne, WallTime(Millis(1000))));
  CHECK(shortOne.Record.Phase == RolloutPhase::Late);
}

// Guards against a rollout that is reported late at its start, when the time
// since the last raise is not known yet.
TEST(Rollout, StartIsNotLate) {
  Rollout rollout = simRollout(60);
  WallTime now(std::chrono::duration_cast<Millis>(std::chrono::hours(500'000)));
  rollout.Spec.Start = now - Millis(500);
  rollout.Spec.Deadline = now + Millis(40'000);
  auto next = planRollout(rollout, now);
  CHECK(next && next->Phase == RolloutPhase::Running);
}
