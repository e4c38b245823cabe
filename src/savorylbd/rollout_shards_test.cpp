#include "rollout_shards.h"

#include "daemon.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace savorylb;

namespace {

const char *const RolloutEntry =
    R"({"name": "r1", "service": "tiles", "from": "v1", "to": "v2",
        "start": "2026-01-01T00:00:00Z", "deadline": "2026-01-01T01:00:00Z"})";

std::string configWith(int revision, const std::vector<std::string> &versions,
                       const std::string &rollouts) {
  std::string targets;
  int port = 1;
  for (const std::string &it : versions) {
    targets += targets.empty() ? "" : ",";
    targets += R"({"name": "t-)" + it + R"(", "zone": "a", "slots": 1)";
    targets += R"(, "address": "127.0.0.1:)" + std::to_string(port++);
    targets += R"(", "version": ")" + it + "\"}";
  }
  return R"({"revision": )" + std::to_string(revision) +
         R"(, "regions": [{"name": "r", "zones": ["a"]}],
             "services": [{"name": "tiles", "execution": "idempotent",
                           "targets": [)" +
         targets + R"(]}], "teams": [], "rollouts": [)" + rollouts + "]}";
}

} // namespace

TEST_GROUP(RolloutShards) {
  Daemon Own;
  std::int64_t RecordRevision = 0;

  void setup() override {
    Own.Conf.Vm = VmId("a-1");
    Own.Conf.Zone = ZoneId("a");
  }

  void offer(Daemon & daemon, const std::string &key,
             const std::string &content) {
    offerDocument(daemon, key, content, 0, DocumentSource::Peer);
    STRCMP_EQUAL(content.c_str(), heldDocument(daemon, key).Content.c_str());
  }

  void offerRecord(Daemon & daemon, RolloutPhase phase) {
    RolloutRecord record;
    record.Name = RolloutId("r1");
    record.Service = ServiceId("tiles");
    record.Rev = Revision(++RecordRevision);
    record.Phase = phase;
    record.From = VersionId("v1");
    record.To = VersionId("v2");
    record.Share = phase == RolloutPhase::Done ? WholePpm : Ppm(0);
    offer(daemon, std::string(RolloutsPrefix) + "tiles",
          formatRolloutRecord(record));
  }

  /// Versions of a few requests, joined.
  std::string used(Daemon & daemon) {
    std::string all;
    std::set<VersionId> seen;
    for (int i = 0; i < 50; ++i)
      seen.insert(versionFor(daemon, ServiceId("tiles"), RouteId("a")));
    for (const VersionId &it : seen)
      all += it.empty() ? "any " : it.Value + " ";
    return all;
  }
};

// Guards against requests to a version that was never rolled out, and against
// idle targets of a service with one version.
TEST(RolloutShards, OneVersionWithoutARollout) {
  offer(Own, ConfigKey, configWith(1, {"v10", "v9"}, ""));
  STRCMP_EQUAL("v9 ", used(Own).c_str());
  offer(Own, ConfigKey, configWith(2, {"v10"}, ""));
  STRCMP_EQUAL("v10 ", used(Own).c_str());
}

// Guards against a version that gets requests again after it was taken back,
// when its entry leaves the configuration or the daemon restarts.
TEST(RolloutShards, ATakenBackVersionStaysOut) {
  offer(Own, ConfigKey, configWith(1, {"v1", "v2"}, RolloutEntry));
  STRCMP_EQUAL("v1 ", used(Own).c_str());
  offerRecord(Own, RolloutPhase::RolledBack);
  STRCMP_EQUAL("v1 ", used(Own).c_str());
  offer(Own, ConfigKey, configWith(2, {"v1", "v2"}, ""));
  STRCMP_EQUAL("v1 ", used(Own).c_str());
  Daemon restarted;
  restarted.Conf = Own.Conf;
  for (const auto &[key, revision] : heldRevisions(Own))
    offer(restarted, key, heldDocument(Own, key).Content);
  STRCMP_EQUAL("v1 ", used(restarted).c_str());
  // Without the targets of the version in force, any other is better.
  offer(restarted, ConfigKey, configWith(3, {"v2", "v3"}, ""));
  STRCMP_EQUAL("v3 ", used(restarted).c_str());
}

// Guards against a fall back to the old version after a rollout was done, and
// against one that runs on without its entry.
TEST(RolloutShards, ADoneVersionStaysInForce) {
  offer(Own, ConfigKey, configWith(1, {"v1", "v2"}, RolloutEntry));
  offerRecord(Own, RolloutPhase::Running);
  offer(Own, ConfigKey, configWith(2, {"v1", "v2"}, ""));
  STRCMP_EQUAL("v1 ", used(Own).c_str());
  offer(Own, ConfigKey, configWith(3, {"v1", "v2"}, RolloutEntry));
  offerRecord(Own, RolloutPhase::Done);
  STRCMP_EQUAL("v2 ", used(Own).c_str());
  offer(Own, ConfigKey, configWith(4, {"v1", "v2", "v3"}, ""));
  STRCMP_EQUAL("v2 ", used(Own).c_str());
  offer(Own, ConfigKey, configWith(5, {"v1"}, ""));
  STRCMP_EQUAL("v1 ", used(Own).c_str());
}
