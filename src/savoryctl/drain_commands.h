#ifndef SAVORYCTL_DRAIN_COMMANDS_H
#define SAVORYCTL_DRAIN_COMMANDS_H

#include "command_result.h"
#include "drain_kind.h"
#include "drain_request.h"
#include "tool_context.h"

#include <string>

namespace savorylb {

/// `drain target NAME` and `drain region NAME`: set or remove the `draining`
/// field in the configuration.
CommandResult drainInConfig(const ToolContext &context,
                            const DrainRequest &request);

/// `drain vm NAME`: tells a daemon to drain its requests and stop.
/// \param vm name that the daemon must report, otherwise nothing is drained.
/// \param admin the daemon's admin endpoint, `host:port`.
CommandResult drainVm(const ToolContext &context, const std::string &vm,
                      const std::string &admin);

} // namespace savorylb

#endif // SAVORYCTL_DRAIN_COMMANDS_H
