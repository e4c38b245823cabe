#include "key_freshness.h"

#include "daemon.h"
#include "savorylb/clock.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(KeyFreshness) {
  Daemon Own;

  void setup() override {
    Own.Conf.Vm = VmId("a-1");
    Own.Conf.Zone = ZoneId("a");
    Own.Conf.KeyStalenessLimit = Seconds(3);
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->Conf.Regions.push_back(
        {RegionId("r"), {ZoneId("a"), ZoneId("b")}, false});
    Own.Documents.Current = snapshot;
    Own.Documents.StoreContactAt = monoNow() - Seconds(60);
  }

  void mergePeerView(bool storeContact) {
    VmView view;
    view.Name = VmId("b-1");
    view.Zone = ZoneId("b");
    view.AsOf = monoNow();
    view.StoreContact = storeContact;
    view.StoreContactAt = storeContact ? monoNow() : monoNow() - Seconds(60);
    mergeView(Own, view);
  }

  bool areKeysUsableNow() {
    refreshViews(Own);
    tickKeyFreshness(Own);
    return areKeysUsable(Own);
  }
};

// Guards against accepting revoked keys in a zone that is cut off from the
// store and the other zones.
TEST(KeyFreshness, RefusesWhenItMayBeCutOff) { CHECK(!areKeysUsableNow()); }

// Guards against refusing all requests with a key during an outage of the store
// itself.
TEST(KeyFreshness, ServesWhenNobodyReachesTheStore) {
  mergePeerView(false);
  CHECK(areKeysUsableNow());
}

// Guards against refusing keys that are fresh because a peer reaches the store.
TEST(KeyFreshness, LearnsFreshnessFromPeers) {
  mergePeerView(true);
  CHECK(areKeysUsableNow());
}
