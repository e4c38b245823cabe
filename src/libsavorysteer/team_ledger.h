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
  /// Time of the last report of any VM.
  MonoTime ReportedAt{};
  /// Time of the last call of noteHeldShare().
  MonoTime SharesNotedAt{};
  /// Whether the shares of VMs that stay silent are distributed again.
  bool ReclaimsShares = true;
  /// What is known of one VM.
  struct Reporter {
    /// Arrivals per second.
    double PerSecond = 0;
    /// Arrivals per second, smoothed over a longer time.
    double MeanPerSecond = 0;
    /// Time of the last report.
    MonoTime At{};
    /// Share of the limit, 0 to 1, that the VM uses while it is out of touch.
    double Share = 0;
    /// Level at the last report.
    double Level = 0;
    bool Silent = false;
  };
  std::map<VmId, Reporter> Reporters;
};

/// The limits of a team over all VMs.
struct TeamRate {
  double PerSecond = 0;
  double Burst = 0;
};

/// A VM that has not reported for SilentAfter may be on the other side of a
/// network partition, where it goes on with its share. The share is reserved
/// for SilentReserveTime.
constexpr Duration SilentAfter = Millis(900);
constexpr Duration SilentReserveTime = Millis(15000);

/// The response to a report: what a VM may admit of a team's requests.
struct TeamGrant {
  /// Fraction to admit while reports are answered.
  double Fraction = 1;
  /// Share of the team's limit, 0 to 1, and tokens for the time after contact
  /// with the ledger is lost. Both are fixed while there is contact, because
  /// VMs on two sides of a network partition cannot agree on them.
  double Share = 0;
  double Tokens = 0;
};

/// Records a VM's report and updates the VM's share.
void recordTeamUsage(TeamLedger &ledger, const VmId &vm, const TeamUsage &usage,
                     const TeamRate &rate, MonoTime now);

/// Computes the fraction of a team's requests that all VMs admit until their
/// next report. The fraction is 1 until the burst is nearly used, so that a
/// team within its rate is never refused because its requests are spread
/// unevenly over the VMs.
/// \returns the fraction, 0 to 1.
double admittedFraction(TeamLedger &ledger, const TeamRate &rate, MonoTime now);

/// Creates the response to a VM's report.
TeamGrant grantFor(TeamLedger &ledger, const VmId &vm, const TeamRate &rate,
                   MonoTime now);

/// Records the share that a VM says it holds. It is reserved while the VM does
/// not report to this ledger.
/// \param share 0 if the VM holds none.
/// \param perSecond the team's requests per second at the VM.
/// \param at the time of the VM's statement.
void noteHeldShare(TeamLedger &ledger, const VmId &vm, double share,
                   double perSecond, MonoTime at);

/// Drops a silent VM that no longer receives requests.
void dropSilentVm(TeamLedger &ledger, const VmId &vm);

/// Admission state of one team on one VM: the fraction that the ledger's owner
/// reported, and the usage not yet reported to it.
struct TeamThrottle {
  double Fraction = 1;
  bool FractionReceived = false;
  /// 0 until an owner granted one.
  double Share = 0;
  MonoTime ReceivedAt{};
  /// Fraction of a request carried over to the next decision.
  double Credit = 0;
  TeamUsage Unreported;
  MonoTime ReportedAt{};
  MonoTime LastArrivalAt{};
};

/// How long a received fraction alone decides. It covers the loss of one
/// report.
constexpr Duration FractionFreshFor = Millis(300);
/// How long a received fraction is used together with this VM's own bucket
/// (TeamLimit); afterwards the bucket alone decides.
constexpr Duration FractionValidFor = Millis(1300);
/// Report intervals while requests arrive and while none do, and the time after
/// the last arrival for which reports continue.
constexpr Duration UsageReportInterval = Millis(100);
constexpr Duration IdleReportInterval = Millis(500);
constexpr Duration ReportAfterArrival = Millis(5000);

/// \returns whether the fraction is recent enough to decide alone.
bool fractionFresh(const TeamThrottle &throttle, MonoTime now);

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
