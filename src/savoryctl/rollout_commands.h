#ifndef SAVORYCTL_ROLLOUT_COMMANDS_H
#define SAVORYCTL_ROLLOUT_COMMANDS_H

#include "command_result.h"
#include "tool_context.h"

#include <string>
#include <vector>

namespace savorylb {

/// `rollout start FILE`: adds a rollout to the configuration. Replaces a
/// rollout of the same service that has ended. A rollout without `start` starts
/// now.
CommandResult startRollout(const ToolContext &context, const std::string &file,
                           const std::string &text,
                           const std::vector<std::string> &daemons);

/// `rollout status`: shows the configured rollouts and their states.
CommandResult showRollouts(const ToolContext &context);

/// `rollout take-back NAME`: rolls back a rollout permanently; all traffic
/// returns to the old version.
CommandResult rollBackRollout(const ToolContext &context,
                              const std::string &name,
                              const std::vector<std::string> &daemons);

} // namespace savorylb

#endif // SAVORYCTL_ROLLOUT_COMMANDS_H
