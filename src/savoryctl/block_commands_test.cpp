#include "block_commands.h"

#include "json_text.h"
#include "store_keys.h"
#include "store_mock.h"

#include "savorylb/block_parts.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr const char *ConfigText =
    "{\"revision\":1,\"regions\":[{\"name\":\"r\",\"zones\":[\"a\"]}],"
    "\"services\":[],\"teams\":[],\"sites\":[{\"name\":\"near\","
    "\"distance_ms\":{\"r\":1}},{\"name\":\"far\",\"distance_ms\":{\"r\":9}}]}";

/// Enough blocks for several parts.
std::string blockLines(int changed = -1) {
  std::string out;
  for (int i = 0; i < 130'000; ++i)
    out += std::to_string(100 + i / 65536) + "." +
           std::to_string(i / 256 % 256) + "." + std::to_string(i % 256) +
           ".0/24 " + (i == changed ? "far" : "near") + "\n";
  return out;
}

void checkCode(ExitCode expected, const CommandResult &result) {
  LONGS_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(result.Code),
                   result.Text.c_str());
}

} // namespace

TEST_GROUP(BlockCommands) {
  StoreMock Mock;
  ToolContext Context = makeMockContext(Mock);

  void setup() override { mockPut(Mock, ConfigKey, ConfigText); }
  CommandResult apply(const std::string &text) {
    return applyBlocks(Context, "b.txt", text, {});
  }
  std::string content(const std::string &key) {
    return Mock.Values[key].Content;
  }
  int appliedWrites() {
    int out = 0;
    for (const auto &[key, number] : Mock.AppliedWrites)
      out += number;
    return out;
  }
};

// Guards against writing blocks before they are validated.
TEST(BlockCommands, ApplyRefusesFindings) {
  CommandResult out = apply("10.0.0.0/8 near\n10.0.0.1/8 near\n");
  checkCode(ExitCode::Usage, out);
  LONGS_EQUAL(2, out.Data["findings"][0]["line"].asInt());
  out = apply("10.0.0.0/8 nowhere\n");
  checkCode(ExitCode::Usage, out);
  STRCMP_CONTAINS("nowhere", out.Text.c_str());
  LONGS_EQUAL(0, appliedWrites());
}

// Guards against rewriting unchanged parts, and against a value that the store
// refuses for its size.
TEST(BlockCommands, OnlyChangedPartsAreWritten) {
  CommandResult out = apply(blockLines());
  checkCode(ExitCode::Ok, out);
  LONGS_EQUAL(130'000, out.Data["blocks"].asInt());
  int parts = out.Data["parts"].asInt();
  CHECK(parts > 1);
  LONGS_EQUAL(parts, out.Data["parts_written"].asInt());
  for (const auto &[key, value] : Mock.Values)
    CHECK(value.Content.size() < 1'000'000);
  LONGS_EQUAL(parts + 1, appliedWrites());
  out = apply(blockLines());
  CHECK(!out.Data["changed"].asBool());
  LONGS_EQUAL(parts + 1, appliedWrites());
  out = apply(blockLines(77));
  checkCode(ExitCode::Ok, out);
  LONGS_EQUAL(1, out.Data["parts_written"].asInt());
  LONGS_EQUAL(2, out.Data["revision"].asInt());
  LONGS_EQUAL(parts + 3, appliedWrites());
}

// Guards against reporting a write as failed, or repeating it, when it took
// effect and only its response was lost.
TEST(BlockCommands, LostResponsesAreReadBack) {
  Mock.Faults = {MockFault::LostResponse, MockFault::LostResponse};
  checkCode(ExitCode::Ok, apply("10.0.0.0/8 near\n"));
  LONGS_EQUAL(2, appliedWrites());
  LONGS_EQUAL(1, revisionField(content(BlockIndexKey)).Value);
}

// Guards against one operator silently overwriting another's blocks.
TEST(BlockCommands, RacingOperatorGivesAConflict) {
  checkCode(ExitCode::Ok, apply("10.0.0.0/8 near\n"));
  std::string part = BlockPartsPrefix + std::string("0");
  Mock.BeforeWrite = [this, part] {
    mockPut(Mock, part,
            "{\"revision\":5,\"sites\":[\"near\"],\"blocks\":\"9.0.0.0/8=0\"}");
  };
  CommandResult out = apply("10.0.0.0/8 far\n");
  checkCode(ExitCode::Conflict, out);
  LONGS_EQUAL(0, out.Data["parts_written"].asInt());
  LONGS_EQUAL(1, revisionField(content(BlockIndexKey)).Value);
  // The index is written last, so nothing came into force in between.
  checkCode(ExitCode::Ok, apply("10.0.0.0/8 far\n"));
  LONGS_EQUAL(6, revisionField(content(part)).Value);
  LONGS_EQUAL(2, revisionField(content(BlockIndexKey)).Value);
}

// Guards against an index that names parts which were not written, and against
// a retry that cannot complete an apply that an outage interrupted.
TEST(BlockCommands, OutageLeavesTheBlocksInForce) {
  Mock.Faults = {MockFault::None, MockFault::Unreachable,
                 MockFault::Unreachable, MockFault::Unreachable,
                 MockFault::Unreachable};
  CommandResult out = apply(blockLines());
  checkCode(ExitCode::Unavailable, out);
  LONGS_EQUAL(1, out.Data["parts_written"].asInt());
  CHECK(content(BlockIndexKey).empty());
  out = apply(blockLines());
  checkCode(ExitCode::Ok, out);
  LONGS_EQUAL(out.Data["parts"].asInt() - 1, out.Data["parts_written"].asInt());
}

// Guards against a new revision that daemons ignore: after the store was
// restored to an older state, they hold a higher revision than the store.
TEST(BlockCommands, ApplyGoesAboveRevisionsOfDaemons) {
  checkCode(ExitCode::Ok, apply("10.0.0.0/8 near\n"));
  Context.DaemonGet = [](const std::string &,
                         const std::string &) -> Result<std::string> {
    return std::string("{\"revisions\": {\"savory/v1/blocks\": 8, "
                       "\"savory/blocks/v1/0\": 4}}");
  };
  checkCode(ExitCode::Ok,
            applyBlocks(Context, "b.txt", "10.0.0.0/8 near\n", {"a:1"}));
  LONGS_EQUAL(9, revisionField(content(BlockIndexKey)).Value);
  LONGS_EQUAL(
      5, revisionField(content(BlockPartsPrefix + std::string("0"))).Value);
}
