#include "savorylb/lender_choice.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

LenderCandidate candidate(const char *vm, std::int64_t tokens, bool near) {
  return {VmId(vm),
          {MicroTokens(tokens * OneToken.Value), MonoTime(Seconds(10))},
          near};
}

} // namespace

TEST_GROUP(LenderChoice){};

// Guards against asking the same empty lenders until their next heartbeat.
TEST(LenderChoice, AStatedLevelReplacesAnOlderHeartbeat) {
  std::vector<LenderCandidate> peers{candidate("a", 9, true),
                                     candidate("b", 5, true)};
  LenderLevels stated;
  CHECK(chooseLenders(peers, stated).front() == VmId("a"));
  stated[VmId("a")] = {MicroTokens(0), MonoTime(Millis(10'500))};
  CHECK(chooseLenders(peers, stated).front() == VmId("b"));
  // A newer heartbeat counts again.
  peers[0].Published.AsOf = MonoTime(Seconds(11));
  CHECK(chooseLenders(peers, stated).front() == VmId("a"));
}

// Guards against waiting for another region while the own one has tokens.
TEST(LenderChoice, PrefersTheOwnRegion) {
  auto lenders = chooseLenders(
      {candidate("far", 19, false), candidate("near", 5, true)}, {});
  CHECK(lenders.front() == VmId("near"));
}
