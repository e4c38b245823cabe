#include "drain.h"

#include "daemon.h"
#include "heartbeat.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/lookup.h"

#include <algorithm>
#include <thread>

namespace savorylb {
namespace {

constexpr Duration PollInterval = Millis(50);
/// Callers are assumed to have moved to other VMs when no request has arrived
/// for this long.
constexpr Duration CallerIdleTime = Millis(500);
/// Longest time to hand off all resources and leave the zone, within
/// Settings::DrainLimit.
constexpr Duration HandOffLimit = Seconds(5);
/// Time within which peers learn that this VM departs.
constexpr Duration PropagationTime = Seconds(1);

bool isIdle(Daemon &daemon) {
  MonoTime last{Duration(daemon.LastRequestAt.load())};
  return monoNow() - last >= CallerIdleTime;
}

/// \returns the time after which no lookup response that names this VM is valid
/// any more. A caller that uses an older one finds the port closed.
Duration lookupExpiryTime() {
  return LookupAnswer{}.TimeToLive + PropagationTime;
}

/// Whether requests, of this VM or forwarded by others, still hold slots that
/// this VM granted.
bool hasSlotsInUse(Daemon &daemon) {
  std::shared_lock<std::shared_mutex> guard(daemon.Services.Lock);
  for (const auto &[name, shard] : daemon.Services.Services) {
    std::lock_guard<std::mutex> inner(shard->Lock);
    for (const auto &[target, owned] : shard->Slots.Targets)
      // The slots of abandoned requests are left out: the next owner counts
      // them as busy.
      if (owned.Grants.size() > owned.ReleasedWhileBusy.size())
        return true;
  }
  return false;
}

template <typename Condition>
void waitUntil(MonoTime limit, Condition condition) {
  while (!condition() && monoNow() < limit)
    std::this_thread::sleep_for(PollInterval);
}

} // namespace

void beginDrain(Daemon &daemon) {
  if (daemon.Departing.exchange(true))
    return;
  logEvent(EventCode::DrainStarted,
           {{"in_flight", std::int64_t(daemon.RequestsInFlight.load())}});
  refreshViews(daemon);
  sendHeartbeats(daemon, true);
}

void finishDrain(Daemon &daemon, Poco::Net::TCPServer &callers) {
  MonoTime start = monoNow();
  MonoTime limit = start + daemon.Conf.DrainLimit;
  std::this_thread::sleep_for(daemon.Conf.DrainGrace);
  waitUntil(std::min(limit, start + lookupExpiryTime()),
            [&] { return isIdle(daemon); });
  bool accepted = stopListening(callers);
  // Each connection is closed after its response, or at once if no request has
  // arrived on it.
  closeIdleConnections(daemon.Callers);
  waitUntil(limit, [&] { return daemon.Callers.Open == 0; });
  daemon.HandingOff = true;
  // Resources are handed off while this VM still answers its peers.
  MonoTime handOffLimit = std::min(limit, monoNow() + HandOffLimit);
  waitUntil(handOffLimit, [&] { return leaveZone(daemon); });
  waitUntil(limit, [&] { return !hasSlotsInUse(daemon); });
  auto took = std::chrono::duration_cast<Millis>(monoNow() - start).count();
  logEvent(EventCode::DaemonStopped,
           {{"drain_ms", std::int64_t(took)},
            {"accepted_all", accepted},
            {"in_flight", std::int64_t(daemon.RequestsInFlight.load())}});
}

} // namespace savorylb
