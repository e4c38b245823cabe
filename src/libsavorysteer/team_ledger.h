#ifndef SAVORYLB_TEAM_LEDGER_H
#define SAVORYLB_TEAM_LEDGER_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>
#include <vector>

namespace savorylb {

/// Requests of a team at one VM since the VM's last report.
struct TeamUsage {
  double Arrivals = 0;
  double Admitted = 0;
  Duration Span{0};
};

/// The token bucket of one team over all VMs, kept on the VM that owns it.
struct TeamLedger {
  /// Tokens left; below 0 after VMs admitted requests by an outdated fraction.
  double Level = 0;
  MonoTime RefilledAt{};
  bool Started = false;
  /// Arrivals per second at a VM, and the time of its last report.
  struct Reporter {
    double PerSecond = 0;
    MonoTime At{};
  };
  std::map<VmId, Reporter> Reporters;
};

/// The limits of a team over all VMs.
struct TeamRate {
  double PerSecond = 0;
  double Burst = 0;
};

/// A VM that has not reported for SilentAfter may be on the other side of a
/// network partition. The share of the rate for its arrivals is reserved for
/// SilentReserveTime.
constexpr Duration SilentAfter = Millis(900);
constexpr Duration SilentReserveTime = Millis(10000);

/// Records a VM's report.
void recordTeamUsage(TeamLedger &ledger, const VmId &vm, const TeamUsage &usage,
                     const TeamRate &rate, MonoTime now);

/// Computes the fraction of a team's requests that all VMs admit until their
/// next report. The fraction is 1 until the burst is nearly used, so that a
/// team within its rate is never refused because its requests are spread
/// unevenly over the VMs.
/// \returns the fraction, 0 to 1.
double admittedFraction(TeamLedger &ledger, const TeamRate &rate, MonoTime now);

/// Admission state of one team on one VM: the fraction that the ledger's owner
/// reported, and the usage not yet reported to it.
struct TeamThrottle {
  double Fraction = 1;
  bool FractionReceived = false;
  MonoTime ReceivedAt{};
  /// Fraction of a request carried over to the next decision.
  double Credit = 0;
  TeamUsage Unreported;
  MonoTime ReportedAt{};
  MonoTime LastArrivalAt{};
};

/// How long a received fraction is used; afterwards this VM's own bucket
/// (TeamLimit) decides.
constexpr Duration FractionValidFor = Millis(1300);
/// Report intervals while requests arrive and while none do, and the time after
/// the last arrival for which reports continue.
constexpr Duration UsageReportInterval = Millis(100);
constexpr Duration IdleReportInterval = Millis(500);
constexpr Duration ReportAfterArrival = Millis(5000);

/// \returns whether the fraction is recent enough to be used.
bool fractionValid(const TeamThrottle &throttle, MonoTime now);

/// Decides on one request by the fraction.
/// \returns whether the request is admitted.
bool admitByFraction(TeamThrottle &throttle);

/// \returns whether a report is due.
bool reportDue(const TeamThrottle &throttle, MonoTime now);

/// Resets the unreported usage.
/// \returns the usage since the last report.
TeamUsage takeUsage(TeamThrottle &throttle, MonoTime now);

/// \returns the VM that owns a team's ledger, the same on all VMs with the same
///          view of the fleet.
VmId ledgerOwner(const TeamId &team, const std::vector<VmId> &vms);

} // namespace savorylb

#endif // SAVORYLB_TEAM_LEDGER_H
