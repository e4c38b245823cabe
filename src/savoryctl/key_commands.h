#ifndef SAVORYCTL_KEY_COMMANDS_H
#define SAVORYCTL_KEY_COMMANDS_H

#include "command_result.h"
#include "tool_context.h"

#include <string>
#include <vector>

namespace savorylb {

/// `keys grant`: generates a key for a team and stores its digest. The key
/// itself is only in the result, and only if the grant is in force.
/// \param team a team of the configuration.
/// \param label operators' name of the key, used to withdraw it.
/// \param daemons admin endpoints of daemons to query for the revisions they
/// hold.
CommandResult grantKey(const ToolContext &context, const std::string &team,
                       const std::string &label,
                       const std::vector<std::string> &daemons);

/// `keys import FILE`: grants the keys in a file that holds a list of
/// `{"team","label","key"}`, for demos and tests.
CommandResult importKeys(const ToolContext &context, const std::string &file,
                         const std::string &text,
                         const std::vector<std::string> &daemons);

/// `keys withdraw`: revokes the key with a label.
CommandResult withdrawKey(const ToolContext &context, const std::string &label,
                          const std::vector<std::string> &daemons);

/// `keys list`: shows label, team and state of each key.
CommandResult listKeys(const ToolContext &context);

/// \returns the lower-case hex SHA-256 of a key.
std::string digestOfKey(const std::string &key);

} // namespace savorylb

#endif // SAVORYCTL_KEY_COMMANDS_H
