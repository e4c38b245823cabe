// The part of VmDaemon that stops it as planned.
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "vm_daemon.h"

namespace savorylb {
namespace {

/// Time between two checks of the phase of a planned stop; part of the time
/// that planned_stop reserves for ending the process.
constexpr Duration ShutdownCheckInterval = Millis(50);

} // namespace

void VmDaemon::beginShutdown() {
  if (Stopping)
    return;
  Stopping = true;
  State.Stop = PlannedStop{monoNow(), Settings.StopGrace};
  State.Fleet.SelfDraining = true;
  logEvent(EventCode::DrainStarted,
           {{"in_flight", static_cast<std::int64_t>(Callers.inFlight())}});
  Registration.stop();
  if (Usage)
    Usage->stop();
  Link.sendReports();
  Callers.startDrain();
  advanceShutdown();
}

void VmDaemon::advanceShutdown() {
  ShutdownTimer.expires_after(ShutdownCheckInterval);
  ShutdownTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      advanceShutdown();
  });
  MonoTime now = monoNow();
  // The settings may have changed since the signal.
  State.Stop->Grace = Settings.StopGrace;
  if (now >= acceptsUntil(*State.Stop))
    Callers.stopAccepting();
  if (now < closesIdleAt(*State.Stop))
    return;
  Callers.closeIdle();
  if (now >= releasesResponsesAt(*State.Stop))
    Callers.releaseResponses();
  if (now >= cutsOffAt(*State.Stop))
    Callers.breakOffRequests();
  // Connections on which a response is being written count as well.
  if (Callers.connections() > 0 && now < endsAt(*State.Stop))
    return;
  ShutdownTimer.cancel();
  if (Usage)
    Usage->sendCounts();
  logEvent(EventCode::DaemonStopped,
           {{"drain_ms", (now - State.Stop->RequestedAt).count() / 1000},
            {"in_flight", static_cast<std::int64_t>(Callers.inFlight())}});
  closeEventLog();
  Io.stop();
}

} // namespace savorylb
