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
  Daemon Own;
  std::map<std::string, StoreValue> Stored;
  std::vector<std::string> Read;
  std::string Written;

  void setup() override {
    Own.Conf.Vm = VmId("a-1");
    Own.Conf.Zone = ZoneId("a");
    Own.Store.Get = [this](const std::string &key) -> Result<StoreValue> {
      Read.push_back(key);
      auto it = Stored.find(key);
      if (it == Stored.end())
        return failure(ErrorCode::NotFound, key);
      return it->second;
    };
    Own.Store.CompareAndSwap = [this](const std::string &,
                                      const std::string &value,
                                      std::uint64_t) -> Result<void> {
      Written = value;
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    };
    offer(ConfigKey, config(1, "near"));
  }

  void offer(const std::string &key, const std::string &content) {
    offerDocument(Own, key, content, 0, DocumentSource::Peer);
  }
  std::string siteAt(const char *address) {
    SnapshotPtr snapshot = currentSnapshot(Own);
    const SiteSpec *site = findSite(*snapshot->Blocks, *parseIpv4(address));
    return site ? site->Name.Value : "";
  }
  std::int64_t inForce() { return currentSnapshot(Own)->BlocksRev.Value; }
};

// Guards against lookups answered by half of a change.
TEST(BlockState, PartsComeInForceTogether) {
  offer(blockPartKey(0), part(1, "near"));
  offer(BlockIndexKey, index(1, 1, 1));
  STRCMP_EQUAL("", siteAt("10.0.0.1").c_str());
  offer(blockPartKey(1), otherPart(1, "near"));
  LONGS_EQUAL(1, inForce());
  STRCMP_EQUAL("near", siteAt("10.0.0.1").c_str());
  STRCMP_EQUAL("near", siteAt("20.0.0.1").c_str());
  offer(BlockIndexKey, index(2, 1, 2));
  offer(blockPartKey(0), part(2, "none"));
  LONGS_EQUAL(1, inForce());
  STRCMP_EQUAL("near", siteAt("10.0.0.1").c_str());
}

// Guards against losing the last good set to a part that cannot be read.
TEST(BlockState, KeepsTheLastGoodSet) {
  offer(blockPartKey(0), part(1, "near"));
  offer(blockPartKey(1), otherPart(1, "near"));
  offer(BlockIndexKey, index(1, 1, 1));
  offer(blockPartKey(1), "{\"revision\":2,\"sites\":[],\"blocks\":\"x\"}");
  offer(BlockIndexKey, index(2, 1, 2));
  LONGS_EQUAL(1, heldRevision(Own, blockPartKey(1)).Value);
  LONGS_EQUAL(1, inForce());
  STRCMP_EQUAL("near", siteAt("20.0.0.1").c_str());
  offer(blockPartKey(1), otherPart(3, "near"));
  LONGS_EQUAL(2, inForce());
}

// Guards against blocks that are lost when the configuration changes, or that
// stay without the site that a later configuration brings.
TEST(BlockState, ConfigurationsJoinTheParts) {
  offer(blockPartKey(0), part(1, "far"));
  offer(blockPartKey(1), otherPart(1, "near"));
  offer(BlockIndexKey, index(1, 1, 1));
  STRCMP_EQUAL("", siteAt("10.0.0.1").c_str());
  STRCMP_EQUAL("near", siteAt("20.0.0.1").c_str());
  offer(ConfigKey, config(2, "far"));
  STRCMP_EQUAL("far", siteAt("10.0.0.1").c_str());
  STRCMP_EQUAL("", siteAt("20.0.0.1").c_str());
}

// Guards against reading all parts for a change of one, and against a store
// that came back older and keeps older parts.
TEST(BlockState, ReadsOnlyWhatDiffers) {
  offer(blockPartKey(0), part(2, "near"));
  Stored[blockPartKey(0)] = {part(2, "near"), 7};
  Stored[blockPartKey(1)] = {otherPart(1, "near"), 8};
  fetchBlockParts(Own, index(1, 2, 1));
  LONGS_EQUAL(1, Read.size());
  LONGS_EQUAL(1, heldRevision(Own, blockPartKey(1)).Value);
  Stored[blockPartKey(0)] = {part(1, "old"), 5};
  fetchBlockParts(Own, index(1, 1, 1));
  LONGS_EQUAL(2, Read.size());
  STRCMP_EQUAL(part(2, "near").c_str(), Written.c_str());
}
