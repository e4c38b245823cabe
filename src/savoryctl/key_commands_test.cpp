#include "key_commands.h"

#include "json_text.h"
#include "store_keys.h"
#include "store_mock.h"

#include "savorylb/key_ring.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(KeyCommands) {
  StoreMock Mock;
  ToolContext Context = makeMockContext(Mock);

  CommandResult grant(const std::string &label) {
    return grantKey(Context, "pilots", label, {});
  }
  std::string ring() { return Mock.Values[KeyRingKey].Content; }
  void checkCode(ExitCode expected, const CommandResult &result) {
    LONGS_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(result.Code),
                     result.Text.c_str());
  }
};

// Guards against storing the key itself, and against a digest under which
// daemons do not find the key.
TEST(KeyCommands, GrantStoresOnlyTheDigest) {
  CommandResult out = grant("one");
  checkCode(ExitCode::Ok, out);
  std::string key = out.Data["key"].asString();
  LONGS_EQUAL(64, key.size());
  CHECK(ring().find(key) == std::string::npos);
  STRCMP_EQUAL(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
      digestOfKey("abc").c_str());
  KeyRing parsed = parseKeyRing(ring()).value();
  CHECK(teamOfKey(parsed, digestOfKey(key)) == TeamId("pilots"));
}

// Guards against a second key under the same label, which a withdrawal could
// not distinguish from the first, and against granting one key twice.
TEST(KeyCommands, LabelsAndKeysAreUnique) {
  checkCode(ExitCode::Ok, grant("one"));
  Context.RandomHex = [] { return std::string(64, 'b'); };
  checkCode(ExitCode::Conflict, grant("one"));
  checkCode(ExitCode::Ok, grant("two"));
  checkCode(ExitCode::Conflict, grant("three"));
  LONGS_EQUAL(2, listKeys(Context).Data["keys"].size());
}

// Guards against a withdrawn key that stays in force or is granted again.
TEST(KeyCommands, WithdrawRevokesOnce) {
  std::string key = grant("one").Data["key"].asString();
  checkCode(ExitCode::Ok, withdrawKey(Context, "one", {}));
  CHECK(!teamOfKey(parseKeyRing(ring()).value(), digestOfKey(key)));
  CHECK(!withdrawKey(Context, "one", {}).Data["changed"].asBool());
  checkCode(ExitCode::NotFound, withdrawKey(Context, "two", {}));
  checkCode(ExitCode::Conflict, grant("one"));
}

// Guards against a grant that overwrites a concurrent withdrawal by another
// operator.
TEST(KeyCommands, RacingChangesAreBothKept) {
  std::string key = grant("one").Data["key"].asString();
  Context.RandomHex = [] { return std::string(64, 'b'); };
  Mock.BeforeWrite = [this] {
    checkCode(ExitCode::Ok, withdrawKey(Context, "one", {}));
  };
  checkCode(ExitCode::Ok, grant("two"));
  KeyRing parsed = parseKeyRing(ring()).value();
  CHECK(!teamOfKey(parsed, digestOfKey(key)));
  CHECK(parsed.Rev == Revision(3));
}

// Guards against granting twice in one command, and against printing a key
// whose grant may not be in force.
TEST(KeyCommands, LostResponses) {
  Mock.Faults = {MockFault::LostResponse};
  checkCode(ExitCode::Ok, grant("one"));
  LONGS_EQUAL(1, Mock.AppliedWrites[KeyRingKey]);
  Context.RandomHex = [] { return std::string(64, 'b'); };
  Mock.Faults = {MockFault::LostRequest, MockFault::Unreachable,
                 MockFault::Unreachable, MockFault::Unreachable};
  CommandResult out = grant("two");
  checkCode(ExitCode::Unknown, out);
  CHECK(!out.Data.isMember("key"));
}

// Guards against editing an older key ring than the one that daemons hold,
// which would restore withdrawn keys.
TEST(KeyCommands, RefusedWhileTheStoreIsBehindDaemons) {
  checkCode(ExitCode::Ok, grant("one"));
  Context.DaemonGet = [](const std::string &,
                         const std::string &) -> Result<std::string> {
    return std::string("{\"revisions\": {\"savory/v1/keys\": 9}}");
  };
  checkCode(ExitCode::Conflict, withdrawKey(Context, "one", {"a:1"}));
  LONGS_EQUAL(1, Mock.AppliedWrites[KeyRingKey]);
}

// Guards against granting a key to a team that is not configured, and against
// granting only some of the keys of an invalid file.
TEST(KeyCommands, ChecksTeamsAndFiles) {
  mockPut(Mock, ConfigKey,
          "{\"regions\": [{\"name\": \"r\", \"zones\": [\"z\"]}], "
          "\"services\": [], \"teams\": []}");
  checkCode(ExitCode::NotFound, grant("one"));
  checkCode(
      ExitCode::Usage,
      importKeys(Context, "k.json",
                 "[{\"team\": \"a\", \"label\": \"x\", \"key\": \"k\"}, {}]",
                 {}));
  CHECK(ring().empty());
}
