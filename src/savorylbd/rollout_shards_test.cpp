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
  Daemon Instance;
  std::int64_t RecordRevision = 0;

  void setup() override {
    Instance.Conf.Vm = VmId("a-1");
    Instance.Conf.Zone = ZoneId("a");
  }

  void receive(Daemon & daemon, const std::string &key,
               const std::string &content) {
    receiveDocument(daemon, key, content, 0, DocumentSource::Peer);
    STRCMP_EQUAL(content.c_str(), heldDocument(daemon, key).Content.c_str());
  }

  void receiveRecord(Daemon & daemon, RolloutPhase phase) {
    RolloutRecord record;
    record.Name = RolloutId("r1");
    record.Service = ServiceId("tiles");
    record.Rev = Revision(++RecordRevision);
    record.Phase = phase;
    record.From = VersionId("v1");
    record.To = VersionId("v2");
    record.Share = phase == RolloutPhase::Done ? WholePpm : Ppm(0);
    receive(daemon, std::string(RolloutsPrefix) + "tiles",
            formatRolloutRecord(record));
  }

  /// \returns the versions chosen for 50 requests, each followed by a space.
  std::string usedVersions(Daemon & daemon) {
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
// targets without requests when a service has one version.
TEST(RolloutShards, UsesOneVersionWithoutARollout) {
  receive(Instance, ConfigKey, configWith(1, {"v10", "v9"}, ""));
  STRCMP_EQUAL("v9 ", usedVersions(Instance).c_str());
  receive(Instance, ConfigKey, configWith(2, {"v10"}, ""));
  STRCMP_EQUAL("v10 ", usedVersions(Instance).c_str());
}

// Guards against requests to a version that was rolled back, after its rollout
// was removed from the configuration or the daemon was restarted.
TEST(RolloutShards, RolledBackVersionGetsNoRequests) {
  receive(Instance, ConfigKey, configWith(1, {"v1", "v2"}, RolloutEntry));
  STRCMP_EQUAL("v1 ", usedVersions(Instance).c_str());
  receiveRecord(Instance, RolloutPhase::RolledBack);
  STRCMP_EQUAL("v1 ", usedVersions(Instance).c_str());
  receive(Instance, ConfigKey, configWith(2, {"v1", "v2"}, ""));
  STRCMP_EQUAL("v1 ", usedVersions(Instance).c_str());
  Daemon restarted;
  restarted.Conf = Instance.Conf;
  for (const auto &[key, revision] : heldRevisions(Instance))
    receive(restarted, key, heldDocument(Instance, key).Content);
  STRCMP_EQUAL("v1 ", usedVersions(restarted).c_str());
  // The active version has no targets any more, so one that was never rolled
  // back is chosen.
  receive(restarted, ConfigKey, configWith(3, {"v2", "v3"}, ""));
  STRCMP_EQUAL("v3 ", usedVersions(restarted).c_str());
}

// Guards against a return to the old version after a rollout is done, and
// against a rollout that continues after its removal from the configuration.
TEST(RolloutShards, VersionOfADoneRolloutStaysActive) {
  receive(Instance, ConfigKey, configWith(1, {"v1", "v2"}, RolloutEntry));
  receiveRecord(Instance, RolloutPhase::Running);
  receive(Instance, ConfigKey, configWith(2, {"v1", "v2"}, ""));
  STRCMP_EQUAL("v1 ", usedVersions(Instance).c_str());
  receive(Instance, ConfigKey, configWith(3, {"v1", "v2"}, RolloutEntry));
  receiveRecord(Instance, RolloutPhase::Done);
  STRCMP_EQUAL("v2 ", usedVersions(Instance).c_str());
  receive(Instance, ConfigKey, configWith(4, {"v1", "v2", "v3"}, ""));
  STRCMP_EQUAL("v2 ", usedVersions(Instance).c_str());
  receive(Instance, ConfigKey, configWith(5, {"v1"}, ""));
  STRCMP_EQUAL("v1 ", usedVersions(Instance).c_str());
}
