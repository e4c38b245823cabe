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
/// A caller that has sent nothing for this long has moved to another VM.
constexpr Duration QuietTime = Millis(500);
constexpr Duration HandOffLimit = Seconds(5);
/// Peers know of the departure within this time.
constexpr Duration SpreadTime = Seconds(1);

bool isQuiet(Daemon &daemon) {
  MonoTime last{Duration(daemon.LastRequestAt.load())};
  return monoNow() - last >= QuietTime;
}

/// \returns how long callers may keep a lookup response that names this VM;
/// who comes later does not honour it and finds the port closed.
Duration callersMoveWithin() { return LookupAnswer{}.TimeToLive + SpreadTime; }

/// Slots lent to other VMs are still in use.
bool hasGrants(Daemon &daemon) {
  std::shared_lock<std::shared_mutex> guard(daemon.Services.Lock);
  for (const auto &[name, shard] : daemon.Services.Services) {
    std::lock_guard<std::mutex> inner(shard->Lock);
    for (const auto &[target, owned] : shard->Slots.Targets)
      // A later owner counts the slots of requests that were left as busy.
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
  waitUntil(std::min(limit, start + callersMoveWithin()),
            [&] { return isQuiet(daemon); });
  bool accepted = stopListening(callers);
  // Each connection ends by itself: after its response, or at once when no
  // request has arrived on it.
  closeIdleConnections(daemon.Callers);
  waitUntil(limit, [&] { return daemon.Callers.Open == 0; });
  daemon.Closing = true;
  // Resources go to other VMs while this one still answers its peers.
  MonoTime handOffLimit = std::min(limit, monoNow() + HandOffLimit);
  waitUntil(handOffLimit, [&] { return leaveZone(daemon); });
  waitUntil(limit, [&] { return !hasGrants(daemon); });
  auto took = std::chrono::duration_cast<Millis>(monoNow() - start).count();
  logEvent(EventCode::DaemonStopped,
           {{"drain_ms", std::int64_t(took)},
            {"accepted_all", accepted},
            {"in_flight", std::int64_t(daemon.RequestsInFlight.load())}});
}

} // namespace savorylb
