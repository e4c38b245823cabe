#include "drain_commands.h"
#include "json_text.h"
#include "ownership_commands.h"
#include "rollout_commands.h"
#include "store_keys.h"
#include "store_mock.h"

#include "savorylb/rollout.h"
#include "savorylb/zone_document.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

const std::string ConfigText = R"({"revision": 4,
  "regions": [{"name": "tema", "zones": ["tema-a"]}],
  "services": [{"name": "tiles", "execution": "idempotent", "targets": [
    {"name": "t1", "zone": "tema-a", "address": "127.0.0.1:1", "slots": 1, "version": "v1"},
    {"name": "t2", "zone": "tema-a", "address": "127.0.0.1:2", "slots": 1, "version": "v2"}]}],
  "teams": []})";

const std::string RolloutFile =
    "{\"name\": \"r1\", \"service\": \"tiles\", \"from\": \"v1\", \"to\": "
    "\"v2\", \"deadline\": \"2027-01-01T00:00:00Z\"}";

} // namespace

TEST_GROUP(Operations) {
  StoreMock Mock;
  ToolContext Context = makeMockContext(Mock);

  void setup() override { mockPut(Mock, ConfigKey, ConfigText); }
  void checkCode(ExitCode expected, const CommandResult &result) {
    LONGS_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(result.Code),
                     result.Text.c_str());
  }
  Json::Value config() {
    return parseJsonText(Mock.Values[ConfigKey].Content).value();
  }
  CommandResult drain(const std::string &name, bool undo = false) {
    return drainInConfig(Context, {DrainKind::Target, name, undo, {}});
  }
  CommandResult start(const std::string &text) {
    return startRollout(Context, "r.json", text, {});
  }
};

// Guards against a drain that overwrites a concurrent change or marks another
// target.
TEST(Operations, DrainsTargetsAndRegions) {
  Mock.BeforeWrite = [this] {
    checkCode(ExitCode::Ok,
              drainInConfig(Context, {DrainKind::Region, "tema", false, {}}));
  };
  checkCode(ExitCode::Ok, drain("t2"));
  LONGS_EQUAL(6, config()["revision"].asInt());
  CHECK(config()["regions"][0]["draining"].asBool());
  CHECK(config()["services"][0]["targets"][1]["draining"].asBool());
  CHECK(!drain("t2").Data["changed"].asBool());
  checkCode(ExitCode::Ok, drain("t2", true));
  CHECK(!config()["services"][0]["targets"][1]["draining"].asBool());
  checkCode(ExitCode::NotFound, drain("t3"));
}

// Guards against repeating a drain that another operator has undone, after its
// response was lost.
TEST(Operations, DrainIsNotRepeatedAfterALostResponse) {
  Mock.Faults = {MockFault::LostResponse};
  Mock.AfterLostResponse = [this] {
    checkCode(ExitCode::Ok, drain("t2", true));
  };
  checkCode(ExitCode::Unknown, drain("t2"));
  CHECK(!config()["services"][0]["targets"][1]["draining"].asBool());
  Mock.Faults = {MockFault::LostResponse};
  Mock.AfterLostResponse = [this] {
    checkCode(ExitCode::Ok,
              drainInConfig(Context, {DrainKind::Region, "tema", false, {}}));
  };
  checkCode(ExitCode::Ok, drain("t2"));
}

// Guards against draining a VM other than the named one, and against reporting
// that a drain has not begun when it may have.
TEST(Operations, DrainsVms) {
  int posts = 0;
  Context.DaemonGet = [](const std::string &,
                         const std::string &) -> Result<std::string> {
    return std::string("{\"vm\": \"tema-a-1\"}");
  };
  Context.DaemonPost = [&](const std::string &,
                           const std::string &) -> Result<std::string> {
    if (++posts == 1)
      return std::string("{}");
    return failure(ErrorCode::Timeout, "no response");
  };
  checkCode(ExitCode::NotFound, drainVm(Context, "tema-a-2", "a:1"));
  LONGS_EQUAL(0, posts);
  checkCode(ExitCode::Ok, drainVm(Context, "tema-a-1", "a:1"));
  checkCode(ExitCode::Unknown, drainVm(Context, "tema-a-1", "a:1"));
}

// Guards against writing a rollout that only daemons would validate, and
// against replacing a rollout before it has ended.
TEST(Operations, StartsAndRollsBackRollouts) {
  checkCode(ExitCode::Usage, start("{\"name\": \"r1\", \"service\": \"tiles\", "
                                   "\"from\": \"v1\", \"to\": \"v9\", "
                                   "\"deadline\": \"2027-01-01T00:00:00Z\"}"));
  checkCode(ExitCode::Ok, start(RolloutFile));
  CHECK(!start(RolloutFile).Data["changed"].asBool());
  std::string second = RolloutFile;
  second.replace(second.find("r1"), 2, "r2");
  checkCode(ExitCode::Conflict, start(second));
  STRCMP_EQUAL("waiting",
               showRollouts(Context).Data["rollouts"][0]["state"].asCString());
  checkCode(ExitCode::Ok, rollBackRollout(Context, "r1", {}));
  const std::string key = std::string(RolloutPrefix) + "tiles";
  RolloutRecord record = parseRolloutRecord(Mock.Values[key].Content).value();
  CHECK(record.Phase == RolloutPhase::RolledBack);
  CHECK(record.Share == Ppm(0));
  checkCode(ExitCode::Ok, start(second));
  LONGS_EQUAL(1, config()["rollouts"].size());
  checkCode(ExitCode::NotFound, rollBackRollout(Context, "r1", {}));
  // The record of the new rollout has a higher revision than that of the old
  // one.
  checkCode(ExitCode::Ok, rollBackRollout(Context, "r2", {}));
  CHECK(parseRolloutRecord(Mock.Values[key].Content).value().Rev ==
        Revision(2));
  checkCode(ExitCode::Conflict, start(second));
}

// Guards against rolling back a completed rollout.
TEST(Operations, CompletedRolloutsAreNotRolledBack) {
  checkCode(ExitCode::Ok, start(RolloutFile));
  RolloutRecord record;
  record.Name = RolloutId("r1");
  record.Service = ServiceId("tiles");
  record.Rev = Revision(3);
  record.Phase = RolloutPhase::Done;
  record.Share = WholePpm;
  mockPut(Mock, std::string(RolloutPrefix) + "tiles",
          formatRolloutRecord(record));
  checkCode(ExitCode::Conflict, rollBackRollout(Context, "r1", {}));
}

// Guards against resources of a reclaimed VM that stay owned, against a
// partition that counts as complete although its ledger was lost, and against
// reclaiming a VM that was restarted.
TEST(Operations, ReclaimsOwnership) {
  ZoneDocument doc = makeZoneDocument(ZoneId("tema-a"), Ppm(300'000));
  doc.Rev = Revision(8);
  for (const char *vm : {"tema-a-1", "tema-a-2"}) {
    ZoneMember &member = doc.Members[VmId(vm)];
    member.VmIncarnation = Incarnation("first");
    member.PeerEndpoint = "127.0.0.1:1";
    member.RateShare = Ppm(150'000);
    doc.Targets[TargetId(std::string("of-") + vm)] = VmId(vm);
  }
  doc.Partitions.assign(PartitionCount, VmId("tema-a-2"));
  doc.Partitions[3] = VmId("tema-a-1");
  const std::string key = std::string(ZonePrefix) + "tema-a";
  mockPut(Mock, key, formatZoneDocument(doc));
  auto reclaim = [this](bool yes) {
    return reclaimOwnership(Context, "tema-a-1", "tema-a", yes);
  };
  checkCode(ExitCode::Usage, reclaim(false));
  Mock.BeforeWrite = [this, doc, key] {
    ZoneDocument other = doc;
    other.Rev = Revision(9);
    other.Members[VmId("tema-a-1")].VmIncarnation = Incarnation("second");
    mockPut(Mock, key, formatZoneDocument(other));
  };
  checkCode(ExitCode::Conflict, reclaim(true));
  checkCode(ExitCode::Ok, reclaim(true));
  ZoneDocument out = parseZoneDocument(Mock.Values[key].Content).value();
  CHECK(out.Rev == Revision(10));
  LONGS_EQUAL(1, out.Members.size());
  LONGS_EQUAL(1, out.Targets.size());
  CHECK(out.Partitions[3].empty());
  LONGS_EQUAL(10, out.QuarantinedAt[3]);
  LONGS_EQUAL(0, out.QuarantinedAt[4]);
  Json::Value zone = showOwnership(Context).Data["zones"][0];
  LONGS_EQUAL(150'000, zone["unassigned_rate_ppm"].asInt());
  checkCode(ExitCode::NotFound, reclaim(true));
}

// Guards against a rollout that moves all traffic at once because it starts
// from a version that is not in use, and against losing the record that a
// version was rolled back.
TEST(Operations, RolloutsStartFromTheVersionInForce) {
  std::string reverse = RolloutFile;
  reverse.replace(reverse.find("v1"), 2, "v3");
  reverse.replace(reverse.find("v2"), 2, "v1");
  reverse.replace(reverse.find("v3"), 2, "v2");
  checkCode(ExitCode::Conflict, start(reverse));
  checkCode(ExitCode::Ok, start(RolloutFile));
  checkCode(ExitCode::Ok, rollBackRollout(Context, "r1", {}));
  RolloutRecord record =
      parseRolloutRecord(
          Mock.Values[std::string(RolloutPrefix) + "tiles"].Content)
          .value();
  STRCMP_EQUAL("v1", record.From.Value.c_str());
  CHECK(record.RolledBackVersions == std::set<VersionId>{VersionId("v2")});
  reverse.replace(reverse.find("r1"), 2, "r2");
  checkCode(ExitCode::Conflict, start(reverse));
}
