#include "slot_reservation.h"

#include <algorithm>
#include <cmath>
#include <limits>

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

/// \returns whether requests of a demand hold a slot for much less than slotMs.
bool isShort(const PriorityDemand &demand, double slotMs) {
  return LongRatio * demand.SlotMs <= slotMs;
}

double currentRate(const PriorityDemand &demand, MonoTime now) {
  return demand.PerSecond *
         std::exp(-seconds(now - demand.UpdatedAt) / seconds(RateTimeConstant));
}

} // namespace

void countPriority(PriorityDemands &demands, const Urgency &urgency,
                   double slotMs, Millis latencyTarget, MonoTime now) {
  PriorityDemand &demand = demands[urgency];
  demand.PerSecond = currentRate(demand, now) + 1 / seconds(RateTimeConstant);
  demand.UpdatedAt = now;
  double queueMarginMs = static_cast<double>(latencyTarget.count()) - slotMs;
  if (demand.SlotMs <= 0) {
    demand.SlotMs = slotMs;
    demand.QueueMarginMs = queueMarginMs;
  }
  demand.SlotMs += SlotWeight * (slotMs - demand.SlotMs);
  demand.QueueMarginMs += SlotWeight * (queueMarginMs - demand.QueueMarginMs);
}

double maxQueueMs(const PriorityDemands &demands, const Urgency &urgency,
                  double slotMs, MonoTime now) {
  double most = std::numeric_limits<double>::infinity();
  for (const auto &[other, demand] : demands)
    if (other < urgency && isShort(demand, slotMs) &&
        now - demand.UpdatedAt <= RateTimeConstant)
      most = std::min(most, std::max(0.0, demand.QueueMarginMs));
  return most;
}

double reservedFraction(const PriorityDemands &demands, const Urgency &urgency,
                        double slotMs, int vms, int slots, MonoTime now) {
  double busy = 0;
  for (const auto &[other, demand] : demands)
    if (other < urgency && isShort(demand, slotMs))
      busy += currentRate(demand, now) * vms * demand.SlotMs / 1000.0;
  return std::min(MaxReservedFraction, Headroom * busy / std::max(1, slots));
}

} // namespace savorylb
