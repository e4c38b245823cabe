#include "slot_reservation.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

constexpr Duration RateTimeConstant = Millis(3000);
/// Weight of one request in the mean time for which a slot is held.
constexpr double SlotWeight = 0.1;
/// Urgent requests arrive at random, so they need more slots than their mean
/// demand.
constexpr double Headroom = 1.5;

/// A request is long if it holds a slot for this multiple of the time of a more
/// urgent one.
constexpr double LongRatio = 2;

double seconds(Duration span) {
  return static_cast<double>(std::max(Duration::zero(), span).count()) / 1e6;
}

double currentRate(const PriorityDemand &demand, MonoTime now) {
  return demand.PerSecond *
         std::exp(-seconds(now - demand.UpdatedAt) / seconds(RateTimeConstant));
}

} // namespace

void countPriority(PriorityDemands &demands, int priority, double slotMs,
                   MonoTime now) {
  PriorityDemand &demand = demands[priority];
  demand.PerSecond = currentRate(demand, now) + 1 / seconds(RateTimeConstant);
  demand.UpdatedAt = now;
  if (demand.SlotMs <= 0)
    demand.SlotMs = slotMs;
  demand.SlotMs += SlotWeight * (slotMs - demand.SlotMs);
}

double reservedFraction(const PriorityDemands &demands, int priority,
                        double slotMs, int vms, int slots, MonoTime now) {
  double busy = 0;
  for (const auto &[other, demand] : demands)
    if (other < priority && LongRatio * demand.SlotMs <= slotMs)
      busy += currentRate(demand, now) * vms * demand.SlotMs / 1000.0;
  return std::min(MaxReservedFraction, Headroom * busy / std::max(1, slots));
}

} // namespace savorylb
