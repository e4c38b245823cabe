#ifndef SAVORYLB_PEER_CODEC_H
#define SAVORYLB_PEER_CODEC_H

#include "fleet_view.h"
#include "load_reports.h"
#include "savorylb/error.h"
#include "team_ledger.h"
#include "usage_counts.h"

#include <string>

namespace savorylb {

/// Serializes a VM's entry for the store.
std::string writeVmEntry(const VmEntry &entry);
/// Parses a VM's entry.
/// \returns the entry, or Malformed.
Result<VmEntry> readVmEntry(const std::string &text);

/// A report of teams' usage, or the response to such a report.
struct TeamMessage {
  VmId Vm;
  /// In a report: each team's usage at the sender.
  std::map<TeamId, TeamUsage> Usages;
  /// In a response: what the receiver may admit of each team's requests.
  std::map<TeamId, TeamGrant> Grants;
};

/// Serializes a team message.
std::string writeTeamMessage(const TeamMessage &message);
/// Parses a team message.
/// \returns the message, or Malformed when the text is not a team message.
Result<TeamMessage> readTeamMessage(const std::string &text);

/// Serializes the loads of targets.
std::string writeLoadReport(const LoadReport &report);
/// Parses the loads of targets.
/// \returns the report, or Malformed when the text is not such a report.
Result<LoadReport> readLoadReport(const std::string &text);

/// Serializes a VM's counts of usage.
std::string writeUsageReport(const UsageReport &report);
/// Parses a VM's counts of usage.
/// \returns the report, or Malformed when the text is not such a report.
Result<UsageReport> readUsageReport(const std::string &text);

/// Serializes a report for other VMs.
std::string writePeerReport(const PeerReport &report);
/// Parses a report.
/// \returns the report, or Malformed.
Result<PeerReport> readPeerReport(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_PEER_CODEC_H
