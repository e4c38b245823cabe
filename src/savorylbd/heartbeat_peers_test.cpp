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

// Guards against VMs of a zone that is cut off which receive no heartbeats of
// each other for longer than VmSilenceLimit, and so refuse requests for each
// other's targets.
TEST(HeartbeatPeers, IncludesAPeerOfTheOwnZone) {
  for (int i = 0; i < 100; ++i) {
    std::vector<HeartbeatPeer> peers = makePeers(1, 8, false);
    chooseHeartbeatPeers(peers);
    CHECK_EQUAL(4u, peers.size());
    CHECK_EQUAL(1, countInZone(peers));
  }
}

// Guards against a large zone that is cut off and sends half of its heartbeats
// to unreachable peers.
TEST(HeartbeatPeers, UnreachablePeersComeLast) {
  for (int i = 0; i < 100; ++i) {
    std::vector<HeartbeatPeer> peers = makePeers(20, 200, true);
    chooseHeartbeatPeers(peers);
    CHECK_EQUAL(2u, peers.size());
    CHECK_EQUAL(2, countInZone(peers));
  }
}

// Guards against a large fleet whose heartbeats all stay within a zone, so that
// other zones learn of changes late.
TEST(HeartbeatPeers, LargeFleetsIncludeAPeerOfAnotherZone) {
  for (int i = 0; i < 100; ++i) {
    std::vector<HeartbeatPeer> peers = makePeers(20, 200, false);
    chooseHeartbeatPeers(peers);
    CHECK_EQUAL(2u, peers.size());
    CHECK_EQUAL(1, countInZone(peers));
  }
}

TEST(HeartbeatPeers, KeepsAllOfAFewPeers) {
  std::vector<HeartbeatPeer> peers = makePeers(1, 3, true);
  chooseHeartbeatPeers(peers);
  CHECK_EQUAL(4u, peers.size());
}
