#include "config_commands.h"

#include "history.h"
#include "json_text.h"
#include "store_keys.h"
#include "store_mock.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

std::string configText(int rate, int revision = 0) {
  return "{\"revision\": " + std::to_string(revision) +
         ", \"regions\": [{\"name\": \"tema\", \"zones\": [\"tema-a\"]}],\n"
         "\"services\": [{\"name\": \"tiles\", \"execution\": "
         "\"idempotent\", \"targets\": []}], \"teams\": [{\"name\": "
         "\"pilots\",\n\"rate\": " +
         std::to_string(rate) +
         ", \"burst\": 5, \"regions\": [\"tema\"], \"services\": "
         "[\"tiles\"]}]}";
}

void checkCode(ExitCode expected, const CommandResult &result) {
  LONGS_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(result.Code),
                   result.Text.c_str());
}

} // namespace

TEST_GROUP(ConfigCommands) {
  StoreMock Mock;
  ToolContext Context = makeMockContext(Mock);

  CommandResult apply(int rate) {
    return applyConfig(Context, {"c.json", configText(rate), {}, {}});
  }
  Revision storedRevision() {
    return revisionField(Mock.Values[ConfigKey].Content);
  }
};

// Guards against writing a document before it is validated.
TEST(ConfigCommands, ApplyRefusesFindings) {
  CommandResult out = apply(0);
  checkCode(ExitCode::Usage, out);
  STRCMP_CONTAINS("c.json:3: teams[0].rate: ", out.Text.c_str());
  LONGS_EQUAL(3, out.Data["findings"][0]["line"].asInt());
  CHECK(Mock.Values.empty());
}

// Guards against revisions that do not increase, and against writing unchanged
// content.
TEST(ConfigCommands, ApplyRaisesTheRevisionOnlyForChanges) {
  checkCode(ExitCode::Ok, apply(5));
  checkCode(ExitCode::Ok, apply(6));
  CHECK(storedRevision() == Revision(2));
  CommandResult out = apply(6);
  checkCode(ExitCode::Ok, out);
  CHECK(!out.Data["changed"].asBool());
  LONGS_EQUAL(2, Mock.AppliedWrites[ConfigKey]);
}

// Guards against a new revision that daemons ignore: after the store was
// restored to an older state, they hold a higher revision than the store.
TEST(ConfigCommands, ApplyGoesAboveRevisionsOfDaemons) {
  mockPut(Mock, ConfigKey, configText(5, 4));
  Context.DaemonGet = [](const std::string &daemon,
                         const std::string &) -> Result<std::string> {
    if (daemon == "silent:1")
      return failure(ErrorCode::Timeout, "no response");
    return std::string(daemon == "a:1"
                           ? "{\"revisions\": {\"savory/v1/config\": 9}}"
                           : "{\"revisions\": {\"config\": 7}}");
  };
  CommandResult out = applyConfig(
      Context, {"c.json", configText(5), {"a:1", "b:1", "silent:1"}, {}});
  checkCode(ExitCode::Ok, out);
  CHECK(storedRevision() == Revision(10));
  STRCMP_CONTAINS("silent:1", out.Data["warnings"][0].asCString());
}

// Guards against reporting a write as failed, or repeating it, when it took
// effect and only its response was lost.
TEST(ConfigCommands, LostResponseIsResolvedByReadingBack) {
  Mock.Faults = {MockFault::LostResponse};
  checkCode(ExitCode::Ok, apply(5));
  LONGS_EQUAL(1, Mock.AppliedWrites[ConfigKey]);
  CHECK(storedRevision() == Revision(1));
}

// Guards against reporting success for a request that never reached the store.
TEST(ConfigCommands, LostRequestIsSentAgainAgainstTheSameIndex) {
  Mock.Faults = {MockFault::LostRequest, MockFault::LostRequest};
  checkCode(ExitCode::Ok, apply(5));
  LONGS_EQUAL(1, Mock.AppliedWrites[ConfigKey]);
}

// Guards against a delayed first write that takes effect in addition to its
// retry.
TEST(ConfigCommands, DelayedWriteTakesEffectOnce) {
  Mock.Faults = {MockFault::LostRequest};
  int calls = 0;
  std::string delayed;
  auto swap = Context.Store.CompareAndSwap;
  Context.Store.CompareAndSwap = [&](const std::string &key,
                                     const std::string &value,
                                     std::uint64_t expected) {
    if (key == ConfigKey && ++calls == 2)
      (void)mockCompareAndSwap(Mock, key, delayed, expected);
    delayed = value;
    return swap(key, value, expected);
  };
  checkCode(ExitCode::Ok, apply(5));
  LONGS_EQUAL(1, Mock.AppliedWrites[ConfigKey]);
}

// Guards against one operator silently overwriting another's change.
TEST(ConfigCommands, RacingOperatorGivesAConflictWithItsRevision) {
  mockPut(Mock, ConfigKey, configText(5, 4));
  Mock.BeforeWrite = [this] { mockPut(Mock, ConfigKey, configText(7, 6)); };
  CommandResult out = apply(8);
  checkCode(ExitCode::Conflict, out);
  LONGS_EQUAL(6, out.Data["store_revision"].asInt());
  LONGS_EQUAL(0, Mock.AppliedWrites[ConfigKey]);
  checkCode(ExitCode::Conflict,
            applyConfig(Context, {"c.json", configText(9), {}, 5}));
}

// Guards against reporting a conflict for a write that was in force before
// another operator replaced it, and against reporting that a write may have
// taken effect when it cannot have.
TEST(ConfigCommands, LostResponseAndRaceIsUnknown) {
  Mock.Faults = {MockFault::LostResponse};
  Mock.AfterLostResponse = [this] {
    mockPut(Mock, ConfigKey, configText(7, 2));
  };
  checkCode(ExitCode::Unknown, apply(5));
  LONGS_EQUAL(1, Mock.AppliedWrites[ConfigKey]);

  // The other operator wrote the same revision, so the lost write never took
  // effect.
  Mock.Faults = {MockFault::LostRequest};
  Mock.BeforeWrite = [this] { mockPut(Mock, ConfigKey, configText(8, 3)); };
  checkCode(ExitCode::Conflict, apply(9));
}

// Guards against reporting "not applied" when the outcome is unknown.
TEST(ConfigCommands, LostResponseAndStoreDownIsUnknown) {
  Mock.Faults = {MockFault::LostResponse, MockFault::Unreachable,
                 MockFault::Unreachable, MockFault::Unreachable};
  auto get = Context.Store.Get;
  int reads = 0;
  Context.Store.Get = [&](const std::string &key) -> Result<StoreValue> {
    if (++reads == 1)
      return get(key);
    return failure(ErrorCode::Unavailable, "connection refused");
  };
  checkCode(ExitCode::Unknown, apply(5));
  LONGS_EQUAL(1, Mock.AppliedWrites[ConfigKey]);
}

// Guards against reporting an unknown outcome when the store is unreachable.
TEST(ConfigCommands, StoreDownIsReported) {
  Mock.ReadsToFail = 100;
  checkCode(ExitCode::Unavailable, apply(5));
  Mock.ReadsToFail = 0;
  Mock.Faults = {MockFault::Unreachable, MockFault::Unreachable,
                 MockFault::Unreachable, MockFault::Unreachable};
  checkCode(ExitCode::Unavailable, apply(5));
  LONGS_EQUAL(0, Mock.AppliedWrites[ConfigKey]);
  Mock.ReadsToFail = 1;
  checkCode(ExitCode::Ok, apply(5));
}

// Guards against a history that grows without limit, and against an apply that
// fails because the history could not be written.
TEST(ConfigCommands, HistoryKeepsTheLastTwenty) {
  for (int i = 1; i <= 23; ++i)
    checkCode(ExitCode::Ok, apply(i));
  CommandResult out = showHistory(Context);
  LONGS_EQUAL(20, out.Data["history"].size());
  LONGS_EQUAL(23, out.Data["history"][0]["revision"].asInt());
  STRCMP_EQUAL("tester", out.Data["history"][0]["operator"].asCString());
  STRCMP_EQUAL("2026-12-04T09:00:00Z",
               out.Data["history"][0]["time"].asCString());
  LONGS_EQUAL(21, Mock.Values.size());
  Mock.Faults = {MockFault::None, MockFault::Unreachable};
  out = apply(30);
  checkCode(ExitCode::Ok, out);
  LONGS_EQUAL(1, out.Data["warnings"].size());
}

// Guards against differences that are not shown, and against differences
// reported for an unchanged document.
TEST(ConfigCommands, DiffShowsChanges) {
  checkCode(ExitCode::Ok, apply(5));
  STRCMP_EQUAL("~ teams[pilots].rate: 5 -> 6\n",
               diffConfig(Context, "c.json", configText(6)).Text.c_str());
  STRCMP_EQUAL("no difference\n",
               diffConfig(Context, "c.json", configText(5)).Text.c_str());
}
