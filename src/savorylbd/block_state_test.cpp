#include "daemon.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

std::string part(int revision, const std::string &site) {
  return "{\"revision\":" + std::to_string(revision) + ",\"sites\":[\"" + site +
         "\"],\"blocks\":\"10.0.0.0/8=0\"}";
}

std::string otherPart(int revision, const std::string &site) {
  return "{\"revision\":" + std::to_string(revision) + ",\"sites\":[\"" + site +
         "\"],\"blocks\":\"20.0.0.0/8=0\"}";
}

std::string index(int revision, int first, int second) {
  return "{\"revision\":" + std::to_string(revision) + ",\"parts\":[" +
         std::to_string(first) + "," + std::to_string(second) + "]}";
}

std::string config(int revision, const std::string &site) {
  return "{\"revision\":" + std::to_string(revision) +
         ",\"regions\":[{\"name\":\"r\",\"zones\":[\"a\"]}],\"services\":[],"
         "\"teams\":[],\"sites\":[{\"name\":\"" +
         site + "\",\"distance_ms\":{\"r\":1}}]}";
}

} // namespace

TEST_GROUP(BlockState) {
  Daemon Instance;
  std::map<std::string, StoreValue> Stored;
  std::vector<std::string> KeysRead;
  std::string Written;

  void setup() override {
    Instance.Conf.Vm = VmId("a-1");
    Instance.Conf.Zone = ZoneId("a");
    Instance.Store.Get = [this](const std::string &key) -> Result<StoreValue> {
      KeysRead.push_back(key);
      auto it = Stored.find(key);
      if (it == Stored.end())
        return failure(ErrorCode::NotFound, key);
      return it->second;
    };
    Instance.Store.CompareAndSwap = [this](const std::string &,
                                           const std::string &value,
                                           std::uint64_t) -> Result<void> {
      Written = value;
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    };
    receive(ConfigKey, config(1, "near"));
  }

  void receive(const std::string &key, const std::string &content) {
    receiveDocument(Instance, key, content, 0, DocumentSource::Peer);
  }
  std::string siteAt(const char *address) {
    SnapshotPtr snapshot = currentSnapshot(Instance);
    const SiteSpec *site = findSite(*snapshot->Blocks, *parseIpv4(address));
    return site ? site->Name.Value : "";
  }
  std::int64_t activeRevision() {
    return currentSnapshot(Instance)->BlocksRev.Value;
  }
};

// Guards against lookups that use some parts of a change without the others.
TEST(BlockState, ActivatesPartsTogether) {
  receive(blockPartKey(0), part(1, "near"));
  receive(BlockIndexKey, index(1, 1, 1));
  STRCMP_EQUAL("", siteAt("10.0.0.1").c_str());
  receive(blockPartKey(1), otherPart(1, "near"));
  LONGS_EQUAL(1, activeRevision());
  STRCMP_EQUAL("near", siteAt("10.0.0.1").c_str());
  STRCMP_EQUAL("near", siteAt("20.0.0.1").c_str());
  receive(BlockIndexKey, index(2, 1, 2));
  receive(blockPartKey(0), part(2, "none"));
  LONGS_EQUAL(1, activeRevision());
  STRCMP_EQUAL("near", siteAt("10.0.0.1").c_str());
}

// Guards against an unreadable part that replaces the last valid set.
TEST(BlockState, KeepsTheLastValidParts) {
  receive(blockPartKey(0), part(1, "near"));
  receive(blockPartKey(1), otherPart(1, "near"));
  receive(BlockIndexKey, index(1, 1, 1));
  receive(blockPartKey(1), "{\"revision\":2,\"sites\":[],\"blocks\":\"x\"}");
  receive(BlockIndexKey, index(2, 1, 2));
  LONGS_EQUAL(1, heldRevision(Instance, blockPartKey(1)).Value);
  LONGS_EQUAL(1, activeRevision());
  STRCMP_EQUAL("near", siteAt("20.0.0.1").c_str());
  receive(blockPartKey(1), otherPart(3, "near"));
  LONGS_EQUAL(2, activeRevision());
}

// Guards against blocks that are lost when the configuration changes, or that
// are not assigned to a site that a later configuration adds.
TEST(BlockState, ConfigurationChangesRebuildTheTable) {
  receive(blockPartKey(0), part(1, "far"));
  receive(blockPartKey(1), otherPart(1, "near"));
  receive(BlockIndexKey, index(1, 1, 1));
  STRCMP_EQUAL("", siteAt("10.0.0.1").c_str());
  STRCMP_EQUAL("near", siteAt("20.0.0.1").c_str());
  receive(ConfigKey, config(2, "far"));
  STRCMP_EQUAL("far", siteAt("10.0.0.1").c_str());
  STRCMP_EQUAL("", siteAt("20.0.0.1").c_str());
}

// Guards against reading all parts after a change of one, and against a store
// that was restored to an older state and keeps older parts.
TEST(BlockState, FetchesOnlyPartsThatDiffer) {
  receive(blockPartKey(0), part(2, "near"));
  Stored[blockPartKey(0)] = {part(2, "near"), 7};
  Stored[blockPartKey(1)] = {otherPart(1, "near"), 8};
  fetchBlockParts(Instance, index(1, 2, 1));
  LONGS_EQUAL(1, KeysRead.size());
  LONGS_EQUAL(1, heldRevision(Instance, blockPartKey(1)).Value);
  Stored[blockPartKey(0)] = {part(1, "old"), 5};
  fetchBlockParts(Instance, index(1, 1, 1));
  LONGS_EQUAL(2, KeysRead.size());
  STRCMP_EQUAL(part(2, "near").c_str(), Written.c_str());
}
