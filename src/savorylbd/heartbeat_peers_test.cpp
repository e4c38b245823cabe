#include "heartbeat_peers.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>
#include <string>

using namespace savorylb;

TEST_GROUP(HeartbeatPeers) {
  std::mt19937 Random{7};

  std::vector<HeartbeatPeer> makePeers(int inZone, int elsewhere,
                                       bool unreachable) {
    std::vector<HeartbeatPeer> peers;
    for (int i = 0; i < inZone + elsewhere; ++i) {
      std::string name = "vm-" + std::to_string(i);
      peers.push_back(
          {{VmId(name), name}, i < inZone, unreachable && i >= inZone});
    }
    std::shuffle(peers.begin(), peers.end(), Random);
    return peers;
  }

  static int countInZone(const std::vector<HeartbeatPeer> &peers) {
    return static_cast<int>(
        std::count_if(peers.begin(), peers.end(),
                      [](const HeartbeatPeer &it) { return it.OwnZone; }));
  }
};

// Guards against VMs of a cut-off zone that do not hear of each other for
// longer than the silence limit and refuse requests for each other's targets.
TEST(HeartbeatPeers, AlwaysOneOfTheOwnZone) {
  for (int i = 0; i < 100; ++i) {
    std::vector<HeartbeatPeer> peers = makePeers(1, 8, false);
    chooseHeartbeatPeers(peers);
    CHECK_EQUAL(4u, peers.size());
    CHECK_EQUAL(1, countInZone(peers));
  }
}

// Guards against a large cut-off zone that spends half of its heartbeats on
// peers that it cannot reach.
TEST(HeartbeatPeers, UnreachablePeersComeLast) {
  for (int i = 0; i < 100; ++i) {
    std::vector<HeartbeatPeer> peers = makePeers(20, 200, true);
    chooseHeartbeatPeers(peers);
    CHECK_EQUAL(2u, peers.size());
    CHECK_EQUAL(2, countInZone(peers));
  }
}

TEST(HeartbeatPeers, LargeFleetsReachOtherZones) {
  for (int i = 0; i < 100; ++i) {
    std::vector<HeartbeatPeer> peers = makePeers(20, 200, false);
    chooseHeartbeatPeers(peers);
    CHECK_EQUAL(2u, peers.size());
    CHECK_EQUAL(1, countInZone(peers));
  }
}

TEST(HeartbeatPeers, FewPeersAllGetOne) {
  std::vector<HeartbeatPeer> peers = makePeers(1, 3, true);
  chooseHeartbeatPeers(peers);
  CHECK_EQUAL(4u, peers.size());
}
