#ifndef SAVORYLB_PEER_CODEC_H
#define SAVORYLB_PEER_CODEC_H

#include "fleet_view.h"
#include "savorylb/error.h"
#include "team_ledger.h"

#include <string>

namespace savorylb {

/// \returns a VM's entry in the store.
std::string writeVmEntry(const VmEntry &entry);
Result<VmEntry> readVmEntry(const std::string &text);

/// A report of teams' uses, or the answer to one.
struct TeamMessage {
  VmId Vm;
  std::map<TeamId, TeamUsage> Uses;
  std::map<TeamId, double> Parts;
};

std::string writeTeamMessage(const TeamMessage &message);
/// \returns the message, or Malformed when the text is another one.
Result<TeamMessage> readTeamMessage(const std::string &text);

/// \returns a report as it is sent to other VMs.
std::string writeReport(const PeerReport &report);
Result<PeerReport> readReport(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_PEER_CODEC_H
