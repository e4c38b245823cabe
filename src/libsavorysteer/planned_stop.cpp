#include "planned_stop.h"

#include <algorithm>

namespace savorylb {
namespace {

/// How long callers are accepted; longer than callers keep a lookup.
constexpr Duration AcceptTime = Millis(2700);
/// With a short grace period, this divisor of it remains for accepting.
constexpr int MinAcceptDivisor = 2;
/// Time in which a request on a new connection arrives.
constexpr Duration IdleCloseDelay = Millis(100);
/// Part of the grace period that is reserved for responding to the requests
/// that are cut off and for ending the process.
constexpr Duration EndReserve = Millis(400);
/// Time for writing the responses to the requests that are cut off.
constexpr Duration FinalWriteTime = Millis(100);
/// Time for writing responses that waited for another one, before requests are
/// cut off; for a short grace period, this divisor of it.
constexpr Duration ReleaseTime = Millis(500);
constexpr int ReleaseDivisor = 12;
/// Allowed excess over the expected time of a request. The times of the targets
/// of a service differ by about this factor.
constexpr double TimeMargin = 1.5;

} // namespace

MonoTime acceptsUntil(const PlannedStop &stop) {
  return stop.RequestedAt + std::min(AcceptTime, stop.Grace / MinAcceptDivisor);
}

MonoTime closesIdleAt(const PlannedStop &stop) {
  return acceptsUntil(stop) + IdleCloseDelay;
}

MonoTime cutsOffAt(const PlannedStop &stop) {
  return stop.RequestedAt + std::max(Duration::zero(), stop.Grace - EndReserve);
}

MonoTime releasesResponsesAt(const PlannedStop &stop) {
  return std::max(closesIdleAt(stop),
                  cutsOffAt(stop) -
                      std::min(ReleaseTime, stop.Grace / ReleaseDivisor));
}

MonoTime endsAt(const PlannedStop &stop) {
  return cutsOffAt(stop) + FinalWriteTime;
}

bool endsBeforeStop(const PlannedStop &stop, Duration expected,
                    MonoTime deadline, MonoTime now) {
  MonoTime cut = cutsOffAt(stop);
  auto likely = Duration(static_cast<Duration::rep>(
      static_cast<double>(expected.count()) * TimeMargin));
  return deadline <= cut || now + likely <= cut;
}

} // namespace savorylb
