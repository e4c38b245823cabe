#ifndef SAVORYCTL_OWNERSHIP_COMMANDS_H
#define SAVORYCTL_OWNERSHIP_COMMANDS_H

#include "command_result.h"
#include "tool_context.h"

#include <string>

namespace savorylb {

/// `ownership show`: the owner maps of all zones.
CommandResult showOwnership(const ToolContext &context);

/// `ownership reclaim`: removes a VM that is certainly stopped from its zone.
/// Its targets and partitions become unowned, the partitions are quarantined
/// and its rate returns to the unassigned part of the zone.
/// \param context the outside.
/// \param vm the stopped VM.
/// \param zone its zone.
/// \param confirmed the operator vouches that the VM is stopped.
CommandResult reclaimOwnership(const ToolContext &context,
                               const std::string &vm, const std::string &zone,
                               bool confirmed);

} // namespace savorylb

#endif // SAVORYCTL_OWNERSHIP_COMMANDS_H
