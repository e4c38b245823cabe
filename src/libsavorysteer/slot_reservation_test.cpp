#include "slot_reservation.h"

#include <CppUTest/TestHarness.h>

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
    countPriority(demands, priority, slotMs, now);
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
  double part = reservedFraction(demands, 2, LongMs, Vms, Slots, now);
  CHECK_TRUE(part * Slots > 67);
  CHECK_TRUE(part <= MaxReservedFraction);
}

// Guards against slots that stay idle when no urgent requests come, and against
// a reservation by requests that are less urgent or of the same kind.
TEST(SlotReservation, SlotsStayReservedWithoutUrgentRequests) {
  PriorityDemands demands;
  arrive(demands, 1, 5, ShortMs);
  MonoTime now = Start + Seconds(10);
  DOUBLES_EQUAL(0, reservedFraction(demands, 1, LongMs, Vms, Slots, now), 1e-9);
  DOUBLES_EQUAL(0, reservedFraction(demands, 0, LongMs, Vms, Slots, now), 1e-9);
  // Requests of about the same length share the slots in order of arrival.
  DOUBLES_EQUAL(0, reservedFraction(demands, 2, ShortMs, Vms, Slots, now),
                1e-9);
  CHECK_TRUE(reservedFraction(demands, 2, LongMs, Vms, Slots,
                              now + Seconds(15)) < 0.01);
}

// Guards against a reservation that stops the less urgent requests altogether.
TEST(SlotReservation, UrgentRequestsReserveEverything) {
  PriorityDemands demands;
  arrive(demands, 1, 100, ShortMs);
  MonoTime now = Start + Seconds(10);
  DOUBLES_EQUAL(MaxReservedFraction,
                reservedFraction(demands, 2, LongMs, Vms, Slots, now), 1e-9);
}
