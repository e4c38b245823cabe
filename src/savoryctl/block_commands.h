#ifndef SAVORYCTL_BLOCK_COMMANDS_H
#define SAVORYCTL_BLOCK_COMMANDS_H

#include "command_result.h"
#include "tool_context.h"

#include <string>
#include <vector>

namespace savorylb {

/// `blocks apply FILE`: writes each part that changed by compare-and-swap, and
/// then the index that puts all parts in force together. If the command fails
/// before the index is written, the previous blocks stay in force.
/// \param file file name used in findings.
/// \param text one line `CIDR SITE` for each block.
/// \param daemons admin endpoints of daemons to query for the revisions they
/// hold.
/// \returns `revision`, `changed`, `blocks`, `parts` and `parts_written`.
CommandResult applyBlocks(const ToolContext &context, const std::string &file,
                          const std::string &text,
                          const std::vector<std::string> &daemons);

} // namespace savorylb

#endif // SAVORYCTL_BLOCK_COMMANDS_H
