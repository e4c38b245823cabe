#ifndef SAVORYCTL_BLOCK_COMMANDS_H
#define SAVORYCTL_BLOCK_COMMANDS_H

#include "command_result.h"
#include "tool_context.h"

#include <string>
#include <vector>

namespace savorylb {

/// `blocks apply FILE`: writes the parts that changed, each by one
/// compare-and-swap, and then the index that puts them in force together. When
/// it ends early the blocks in force before stay.
/// \param context the outside.
/// \param file file name used in findings.
/// \param text a line `CIDR SITE` for each block.
/// \param daemons admin endpoints to ask for the revisions they hold.
/// \returns `revision`, `changed`, `blocks`, `parts` and `parts_written`.
CommandResult applyBlocks(const ToolContext &context, const std::string &file,
                          const std::string &text,
                          const std::vector<std::string> &daemons);

} // namespace savorylb

#endif // SAVORYCTL_BLOCK_COMMANDS_H
