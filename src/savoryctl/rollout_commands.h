#ifndef SAVORYCTL_ROLLOUT_COMMANDS_H
#define SAVORYCTL_ROLLOUT_COMMANDS_H

#include "command_result.h"
#include "tool_context.h"

#include <string>
#include <vector>

namespace savorylb {

/// `rollout start FILE`: puts a rollout into the configuration. One of the
/// same service that has ended is replaced. Without `start` it starts now.
CommandResult startRollout(const ToolContext &context, const std::string &file,
                           const std::string &text,
                           const std::vector<std::string> &daemons);

/// `rollout status`: the configured rollouts and their states.
CommandResult showRollouts(const ToolContext &context);

/// `rollout take-back NAME`: ends a rollout for good; all traffic returns to
/// the old version.
CommandResult rollBackRollout(const ToolContext &context,
                              const std::string &name,
                              const std::vector<std::string> &daemons);

} // namespace savorylb

#endif // SAVORYCTL_ROLLOUT_COMMANDS_H
