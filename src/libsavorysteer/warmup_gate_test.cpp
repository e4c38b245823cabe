#include "warmup_gate.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};
constexpr double PerSecond = 9.3;
constexpr double Bound = PerSecond * 1.5 + 5;

int sentInOneSecond(TargetState &target) {
  int sent = 0;
  for (MonoTime now = Start; now < Start + Seconds(1); now += Millis(1))
    sent += takeWarmupToken(target, PerSecond, now);
  return sent;
}

} // namespace

TEST_GROUP(WarmupGate){};

// Guards against a cold target that is overrun while two VMs both believe that
// it is theirs to warm up.
TEST(WarmupGate, TwoSendersTogetherStayWithinTheBound) {
  TargetState first;
  TargetState second;
  int sent = sentInOneSecond(first) + sentInOneSecond(second);
  CHECK_TRUE(sent <= Bound);
  CHECK_TRUE(sent >= PerSecond);
}

// Guards against VMs that choose different senders, or one in another region.
TEST(WarmupGate, OneVmOfTheRegionSends) {
  TargetState target;
  target.Entry.Id = TargetId("i-1");
  target.Region = RegionId("tema");
  std::vector<WarmupSender> vms = {{VmId("a"), RegionId("tema")},
                                   {VmId("b"), RegionId("elmina")},
                                   {VmId("c"), RegionId("tema")}};
  std::vector<WarmupSender> other = {vms[2], vms[1], vms[0]};
  VmId sender = warmupSender(target, vms);
  CHECK_TRUE(sender == warmupSender(target, other));
  CHECK_TRUE(sender != VmId("b"));
  target.Region = RegionId("takoradi");
  CHECK_FALSE(warmupSender(target, vms).empty());
}
