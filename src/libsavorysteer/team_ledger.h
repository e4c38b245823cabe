#ifndef SAVORYLB_TEAM_LEDGER_H
#define SAVORYLB_TEAM_LEDGER_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>
#include <vector>

namespace savorylb {

/// Requests of a team on one VM since its last report.
struct TeamUse {
  double Arrivals = 0;
  double Admitted = 0;
  Duration Span{0};
};

/// The exact count of one team's requests, on the VM that keeps it.
struct TeamLedger {
  /// Tokens left; below 0 after VMs admitted on an outdated part.
  double Level = 0;
  MonoTime RefilledAt{};
  bool Started = false;
  /// Arrivals a second at each VM, and when it last reported.
  struct Sender {
    double PerSecond = 0;
    MonoTime At{};
  };
  std::map<VmId, Sender> Senders;
};

/// The limits of a team over all VMs.
struct TeamRate {
  double PerSecond = 0;
  double Burst = 0;
};

/// A VM that was silent for longer may be behind a partition; what came to it
/// is kept back for it for some time.
constexpr Duration SilentAfter = Millis(900);
constexpr Duration KeptBackFor = Millis(10000);

/// Takes in a VM's report.
void noteTeamUse(TeamLedger &ledger, const VmId &vm, const TeamUse &use,
                 const TeamRate &rate, MonoTime now);

/// Decides which part of a team's requests all VMs admit until they report
/// again. The part is 1 until the burst is nearly used, so that callers within
/// their rate are never refused for being spread unevenly over the VMs.
/// \returns the part, 0 to 1.
double admittedPart(TeamLedger &ledger, const TeamRate &rate, MonoTime now);

/// What a VM was told by the VM that keeps a team's ledger.
struct TeamGate {
  double Part = 1;
  bool Known = false;
  MonoTime HeardAt{};
  /// Part of a request owed, carried on.
  double Credit = 0;
  TeamUse Unreported;
  MonoTime ReportedAt{};
  MonoTime ArrivedAt{};
};

/// A part that is older says nothing of the team's requests now.
constexpr Duration PartValidFor = Millis(1300);
/// Reports are sent this often while requests come, and for some time after.
constexpr Duration UseReportEvery = Millis(100);
constexpr Duration IdleReportEvery = Millis(500);
constexpr Duration ReportAfterArrival = Millis(5000);

/// \returns whether the part is recent.
bool partValid(const TeamGate &gate, MonoTime now);

/// Admits a request by the part.
bool admitByPart(TeamGate &gate);

/// \returns whether a report is due.
bool reportDue(const TeamGate &gate, MonoTime now);

/// \returns the uses since the last report, and starts anew.
TeamUse takeUse(TeamGate &gate, MonoTime now);

/// \returns the VM that keeps a team's ledger, the same on all VMs that know
///          the same fleet.
VmId ledgerVm(const TeamId &team, const std::vector<VmId> &vms);

} // namespace savorylb

#endif // SAVORYLB_TEAM_LEDGER_H
