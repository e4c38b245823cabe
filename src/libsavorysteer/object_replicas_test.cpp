#include "object_replicas.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};
/// 36 targets of 4 slots, 160 ms a request; 24 VMs send to them.
constexpr ReplicaDemand Region{24, 36, 25, 1};

/// Requests an object at a steady rate.
/// \returns the end of the time.
MonoTime request(ObjectDemands &demands, const std::string &object,
                 double perSecond, Duration span, MonoTime from) {
  Duration gap(static_cast<Duration::rep>(1e6 / perSecond));
  for (MonoTime now = from; now < from + span; now += gap)
    countObjectRequest(demands, object, now);
  return from + span;
}

} // namespace

TEST_GROUP(ObjectReplicas){};

// Guards against a hot spot: a popular object that stays on few targets.
TEST(ObjectReplicas, PopularObjectOverloadsItsTargets) {
  ObjectDemands demands;
  MonoTime now = request(demands, "hot", 5, Seconds(8), Start);
  int n = replicaCount(demands, "hot", {2, 12}, Region, now);
  // 5 requests a second at each of 24 VMs, 17.5 for each replica.
  CHECK_TRUE(120.0 / n <= MaxReplicaLoad * Region.TargetPerSecond);
  CHECK_TRUE(n <= 10);
}

// Guards against replicas that remain after the demand is over, and against
// their loss all at once, which makes the rest overloaded if it returns.
TEST(ObjectReplicas, ReplicasOutliveTheDemand) {
  ObjectDemands demands;
  MonoTime now = request(demands, "hot", 5, Seconds(8), Start);
  int most = replicaCount(demands, "hot", {2, 12}, Region, now);
  now += Seconds(3);
  LONGS_EQUAL(most - 1, replicaCount(demands, "hot", {2, 12}, Region, now));
  LONGS_EQUAL(most - 1, replicaCount(demands, "hot", {2, 12}, Region, now));
  for (int i = 0; i < 20; ++i) {
    now += Seconds(3);
    replicaCount(demands, "hot", {2, 12}, Region, now);
  }
  LONGS_EQUAL(2, replicaCount(demands, "hot", {2, 12}, Region, now));
}

// Guards against a number that changes with each request at a demand near a
// limit, which moves the object back and forth between targets.
TEST(ObjectReplicas, NumberOscillatesNearALimit) {
  ObjectDemands demands;
  MonoTime now = request(demands, "hot", 1.45, Seconds(20), Start);
  int first = replicaCount(demands, "hot", {1, 12}, Region, now);
  int changes = 0;
  for (int i = 0; i < 200; ++i) {
    now = request(demands, "hot", i % 2 ? 1.4 : 1.5, Millis(700), now);
    int n = replicaCount(demands, "hot", {1, 12}, Region, now);
    changes += n != first;
    first = n;
  }
  CHECK_TRUE(changes <= 2);
}

// Guards against replicas that evict each other from the targets' caches.
TEST(ObjectReplicas, ReplicasExceedTheCaches) {
  ObjectDemands demands;
  for (int i = 0; i < 190; ++i)
    countObjectRequest(demands, "o-" + std::to_string(i), Start);
  LONGS_EQUAL(3, replicaCount(demands, "o-1", {3, 22}, Region, Start));
  LONGS_EQUAL(2, replicaCount(demands, "o-1", {3, 12}, Region, Start));
  ReplicaDemand few = Region;
  few.Targets = 8;
  LONGS_EQUAL(1, replicaCount(demands, "o-1", {3, 22}, few, Start));
  LONGS_EQUAL(1, replicaCount(demands, "o-1", {1, 22}, Region, Start));
}

// Guards against a lost zone that takes all replicas of an object, and against
// targets that move other objects when they leave.
TEST(ObjectReplicas, ReplicasShareAZone) {
  ZoneId zones[] = {ZoneId("a"), ZoneId("b")};
  std::vector<ReplicaSlot> slots;
  for (std::size_t i = 0; i < 8; ++i)
    slots.push_back({100 - i, i, &zones[i < 6 ? 0 : 1]});
  selectReplicas(slots, 3);
  LONGS_EQUAL(0, slots[0].Index);
  LONGS_EQUAL(6, slots[1].Index);
  LONGS_EQUAL(1, slots[2].Index);
}

// Guards against memory that grows with the number of objects.
TEST(ObjectReplicas, DemandsAreUnbounded) {
  ObjectDemands demands;
  for (int i = 0; i < 5000; ++i)
    countObjectRequest(demands, std::to_string(i), Start + Millis(i));
  CHECK_TRUE(demands.Objects.size() <= 1024);
  CHECK_TRUE(demands.Objects.count("4999") == 1);
}
