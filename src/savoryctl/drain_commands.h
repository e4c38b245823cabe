#ifndef SAVORYCTL_DRAIN_COMMANDS_H
#define SAVORYCTL_DRAIN_COMMANDS_H

#include "command_result.h"
#include "tool_context.h"

#include <string>
#include <vector>

namespace savorylb {

/// What a drain in the configuration applies to.
enum class DrainKind { Target, Region };

/// A change of the `draining` mark of a target or region.
struct DrainRequest {
  DrainKind Kind = DrainKind::Target;
  std::string Name;
  /// Takes the mark away.
  bool Undo = false;
  /// Admin endpoints of daemons to ask for the revisions they hold.
  std::vector<std::string> Daemons;
};

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
