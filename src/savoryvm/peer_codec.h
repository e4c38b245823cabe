#ifndef SAVORYLB_PEER_CODEC_H
#define SAVORYLB_PEER_CODEC_H

#include "fleet_view.h"
#include "savorylb/error.h"

#include <string>

namespace savorylb {

/// \returns a VM's entry in the store.
std::string writeVmEntry(const VmEntry &entry);
Result<VmEntry> readVmEntry(const std::string &text);

/// \returns a report as it is sent to other VMs.
std::string writeReport(const PeerReport &report);
Result<PeerReport> readReport(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_PEER_CODEC_H
