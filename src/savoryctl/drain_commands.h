#ifndef SAVORYCTL_DRAIN_COMMANDS_H
#define SAVORYCTL_DRAIN_COMMANDS_H

#include "command_result.h"
#include "drain_kind.h"
#include "drain_request.h"
#include "tool_context.h"

#include <string>

namespace savorylb {

/// `drain target NAME` and `drain region NAME`.
CommandResult drainInConfig(const ToolContext &context,
                            const DrainRequest &request);

/// `drain vm NAME`: tells a daemon to drain and stop.
/// \param context the outside.
/// \param vm name that the daemon must have.
/// \param admin the daemon's admin endpoint.
CommandResult drainVm(const ToolContext &context, const std::string &vm,
                      const std::string &admin);

} // namespace savorylb

#endif // SAVORYCTL_DRAIN_COMMANDS_H
