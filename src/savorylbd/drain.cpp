#include "drain.h"

#include "daemon.h"
#include "heartbeat.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"

#include <thread>

namespace savorylb {
namespace {

constexpr Duration PollInterval = Millis(50);
/// A caller that has sent nothing for this long has moved to another VM.
constexpr Duration QuietTime = Millis(500);
constexpr Duration HandOffLimit = Seconds(5);

bool isQuiet(Daemon &daemon) {
  MonoTime last{Duration(daemon.LastRequestAt.load())};
  return daemon.RequestsInFlight == 0 && monoNow() - last >= QuietTime;
}

/// Slots lent to other VMs are still in use.
bool hasGrants(Daemon &daemon) {
  std::shared_lock<std::shared_mutex> guard(daemon.Services.Lock);
  for (const auto &[name, shard] : daemon.Services.Services) {
    std::lock_guard<std::mutex> inner(shard->Lock);
    for (const auto &[target, owned] : shard->Slots.Targets)
      // A later owner counts the slots of requests that were left as busy.
      if (owned.Grants.size() > owned.Left.size())
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

void finishDrain(Daemon &daemon, Poco::Net::HTTPServer &callers) {
  MonoTime start = monoNow();
  MonoTime limit = start + daemon.Conf.DrainLimit;
  std::this_thread::sleep_for(daemon.Conf.DrainGrace);
  waitUntil(limit, [&] { return isQuiet(daemon); });
  daemon.Closing = true;
  callers.stop();
  waitUntil(limit, [&] { return daemon.RequestsInFlight == 0; });
  // Resources go to other VMs while this one still answers its peers.
  MonoTime handOffLimit = std::min(limit, monoNow() + HandOffLimit);
  waitUntil(handOffLimit, [&] { return leaveZone(daemon); });
  waitUntil(limit, [&] { return !hasGrants(daemon); });
  auto took = std::chrono::duration_cast<Millis>(monoNow() - start).count();
  logEvent(EventCode::DaemonStopped,
           {{"drain_ms", std::int64_t(took)},
            {"in_flight", std::int64_t(daemon.RequestsInFlight.load())}});
}

} // namespace savorylb
