#include "slot_reservation.h"

#include <CppUTest/TestHarness.h>
#include <cmath>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};
constexpr double ShortMs = 160;
constexpr double LongMs = 770;
constexpr int Vms = 84;
constexpr int Slots = 564;

/// Counts the same number of requests a second of one priority for 10 s.
void arrive(PriorityDemands &demands, int priority, double perSecond,
            double slotMs) {
  Duration gap(static_cast<Duration::rep>(1e6 / perSecond));
  for (MonoTime now = Start; now < Start + Seconds(10); now += gap)
    countPriority(demands, {priority, 0}, slotMs, Millis(400), now);
}

} // namespace

TEST_GROUP(SlotReservation){};

// Guards against long requests of low priority that hold all slots, so that
// short urgent ones wait behind them.
TEST(SlotReservation, LongRequestsTakeAllSlots) {
  PriorityDemands demands;
  arrive(demands, 1, 5, ShortMs);
  MonoTime now = Start + Seconds(10);
  // 420 urgent requests a second hold 67 slots.
  double part = reservedFraction(demands, {2, 0}, LongMs, Vms, Slots, now);
  CHECK_TRUE(part * Slots > 67);
  CHECK_TRUE(part <= MaxReservedFraction);
}

// Guards against slots that stay idle when no urgent requests come, and against
// a reservation by requests that are less urgent or of the same kind.
TEST(SlotReservation, SlotsStayReservedWithoutUrgentRequests) {
  PriorityDemands demands;
  arrive(demands, 1, 5, ShortMs);
  MonoTime now = Start + Seconds(10);
  DOUBLES_EQUAL(0, reservedFraction(demands, {1, 0}, LongMs, Vms, Slots, now),
                1e-9);
  DOUBLES_EQUAL(0, reservedFraction(demands, {0, 0}, LongMs, Vms, Slots, now),
                1e-9);
  // Requests of about the same length share the slots in order of arrival.
  DOUBLES_EQUAL(0, reservedFraction(demands, {2, 0}, ShortMs, Vms, Slots, now),
                1e-9);
  CHECK_TRUE(reservedFraction(demands, {2, 0}, LongMs, Vms, Slots,
                              now + Seconds(15)) < 0.01);
}

// Guards against a reservation that stops the less urgent requests altogether.
TEST(SlotReservation, UrgentRequestsReserveEverything) {
  PriorityDemands demands;
  arrive(demands, 1, 100, ShortMs);
  MonoTime now = Start + Seconds(10);
  DOUBLES_EQUAL(MaxReservedFraction,
                reservedFraction(demands, {2, 0}, LongMs, Vms, Slots, now),
                1e-9);
}

// Guards against long requests that queue in front of more urgent short ones,
// also those of the same team, until these are late.
TEST(SlotReservation, LongRequestsQueueAheadOfUrgentOnes) {
  PriorityDemands demands;
  MonoTime now = Start;
  countPriority(demands, {1, 2}, LongMs, Millis(3000), now);
  countPriority(demands, {1, 1}, ShortMs, Millis(400), now);
  double mostMs = maxQueueMs(demands, {1, 2}, LongMs, now);
  CHECK_TRUE(mostMs > 0);
  CHECK_TRUE(mostMs + ShortMs <= 400);
  DOUBLES_EQUAL(mostMs, maxQueueMs(demands, {2, 0}, LongMs, now), 1e-9);
}

// Guards against a limit for requests that nobody more urgent waits behind.
TEST(SlotReservation, QueueIsLimitedForNobody) {
  PriorityDemands demands;
  MonoTime now = Start;
  countPriority(demands, {1, 1}, ShortMs, Millis(400), now);
  CHECK_TRUE(std::isinf(maxQueueMs(demands, {1, 1}, LongMs, now)));
  CHECK_TRUE(std::isinf(maxQueueMs(demands, {0, 2}, LongMs, now)));
  CHECK_TRUE(std::isinf(maxQueueMs(demands, {1, 2}, ShortMs, now)));
  CHECK_TRUE(
      std::isinf(maxQueueMs(demands, {1, 2}, LongMs, now + Seconds(10))));
}
