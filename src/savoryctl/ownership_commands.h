#ifndef SAVORYCTL_OWNERSHIP_COMMANDS_H
#define SAVORYCTL_OWNERSHIP_COMMANDS_H

#include "command_result.h"
#include "tool_context.h"

#include <string>

namespace savorylb {

/// `ownership show`: shows the owner maps of all zones.
CommandResult showOwnership(const ToolContext &context);

/// `ownership reclaim`: removes a VM that has certainly stopped from the owner
/// map of its zone. Its targets and partitions become unowned, the partitions
/// are quarantined, and its rate returns to the unassigned rate of the zone.
/// \param vm the stopped VM.
/// \param zone the zone of the VM.
/// \param confirmed whether the operator confirms that the VM has stopped.
CommandResult reclaimOwnership(const ToolContext &context,
                               const std::string &vm, const std::string &zone,
                               bool confirmed);

} // namespace savorylb

#endif // SAVORYCTL_OWNERSHIP_COMMANDS_H
