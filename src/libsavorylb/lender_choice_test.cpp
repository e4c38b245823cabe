#include "savorylb/lender_choice.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

LenderCandidate candidate(const char *vm, std::int64_t tokens,
                          bool sameRegion) {
  return {VmId(vm),
          {MicroTokens(tokens * OneToken.Value), MonoTime(Seconds(10))},
          sameRegion};
}

} // namespace

TEST_GROUP(LenderChoice){};

// Guards against asking lenders without tokens again until their next
// heartbeat.
TEST(LenderChoice, AStatedLevelReplacesAnOlderHeartbeat) {
  std::vector<LenderCandidate> peers{candidate("a", 9, true),
                                     candidate("b", 5, true)};
  LenderLevels reported;
  CHECK(chooseLenders(peers, reported).front() == VmId("a"));
  reported[VmId("a")] = {MicroTokens(0), MonoTime(Millis(10'500))};
  CHECK(chooseLenders(peers, reported).front() == VmId("b"));
  // A newer heartbeat replaces the reported level.
  peers[0].Published.AsOf = MonoTime(Seconds(11));
  CHECK(chooseLenders(peers, reported).front() == VmId("a"));
}

// Guards against borrowing from another region while the own region has tokens.
TEST(LenderChoice, PrefersTheOwnRegion) {
  auto lenders = chooseLenders(
      {candidate("far", 19, false), candidate("near", 5, true)}, {});
  CHECK(lenders.front() == VmId("near"));
}
