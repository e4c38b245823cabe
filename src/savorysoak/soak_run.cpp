#include "soak_run.h"

#include "caller_load.h"
#include "fault_injector.h"

#include "savorylb/clock.h"

namespace savorylb::soak {
namespace {

/// Time from the start of the daemons to the first request and the first fault.
constexpr Duration StartupTime = Millis(1500);
/// Time from the end of the faults until requests have to be served again.
constexpr Duration RecoveryTime = Seconds(8);
/// Duration of the check after the recovery.
constexpr Duration RecoveryCheckTime = Seconds(3);
/// Time for the requests in flight to finish before the final check.
constexpr Duration FinishTime = Seconds(4);

/// Adds the violations that the platform found in usage reports, and one if the
/// reports have not gone on after the recovery.
void checkUsage(SoakFleet &fleet) {
  const standin::UsageLedger &ledger = fleet.Platform.Usage.Ledger;
  const standin::UsageRules &rules = fleet.Platform.Usage.Rules;
  fleet.Report.UsageWindows = static_cast<int>(ledger.Accepted.size());
  for (const std::string &it : ledger.Violations)
    addViolation(fleet, it);
  if (ledger.Accepted.empty() ||
      windowEnd(ledger.Accepted.rbegin()->first, rules.Window) + rules.Due <
          wallNow())
    addViolation(fleet, "usage is not reported after the recovery");
}

} // namespace

SoakReport runSoak(const SoakOptions &options) {
  SoakFleet fleet(options);
  if (!startFleet(fleet)) {
    addViolation(fleet,
                 "the simulated platform or a daemon could not be started");
    return fleet.Report;
  }
  CallerLoad load(fleet);
  FaultInjector faults(fleet);
  runAfter(fleet, StartupTime, [&load, &faults] {
    load.start();
    faults.start();
  });
  Duration at = StartupTime + Duration(Seconds(options.Seconds));
  runAfter(fleet, at, [&faults] { faults.stop(); });
  at += RecoveryTime;
  runAfter(fleet, at, [&fleet] { fleet.CheckingRecovery = true; });
  at += RecoveryCheckTime;
  runAfter(fleet, at, [&fleet, &load] {
    fleet.CheckingRecovery = false;
    load.stop();
  });
  runAfter(fleet, at + FinishTime, [&fleet] { fleet.Io.stop(); });
  fleet.Io.run();
  load.checkRequests();
  checkUsage(fleet);
  return fleet.Report;
}

} // namespace savorylb::soak
