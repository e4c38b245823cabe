// The part of VmDaemon that stops it as planned.
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "vm_daemon.h"

namespace savorylb {

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
}

void VmDaemon::advanceShutdown() {
  MonoTime now = monoNow();
  // The settings may have changed since the signal.
  State.Stop->Grace = Settings.StopGrace;
  if (now >= acceptsUntil(*State.Stop))
    Callers.stopAccepting();
  if (now < closesIdleAt(*State.Stop))
    return;
  Callers.closeIdle();
  bool graceExpired = now >= cutsOffAt(*State.Stop);
  // Connections on which a response is being written count as well.
  if (Callers.connections() > 0 && !graceExpired)
    return;
  if (Usage)
    Usage->sendCounts();
  logEvent(EventCode::DaemonStopped,
           {{"drain_ms", (now - State.Stop->RequestedAt).count() / 1000},
            {"in_flight", static_cast<std::int64_t>(Callers.inFlight())}});
  closeEventLog();
  Io.stop();
}

} // namespace savorylb
