#ifndef SAVORYCTL_CONFIG_COMMANDS_H
#define SAVORYCTL_CONFIG_COMMANDS_H

#include "command_result.h"
#include "tool_context.h"

#include "savorylb/finding.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorylb {

/// A configuration file and how to apply it.
struct ApplyRequest {
  /// File name used in findings.
  std::string File;
  std::string Text;
  /// Admin endpoints of daemons to query for the revisions they hold.
  std::vector<std::string> Daemons;
  /// Revision that the store must hold, so that scripts can read, modify and
  /// write.
  std::optional<std::int64_t> ExpectedRevision;
};

/// \returns findings as a result with exit code Usage.
CommandResult findingsResult(const Findings &findings);

/// `validate FILE`.
CommandResult validateConfig(const std::string &file, const std::string &text);

/// `apply FILE`: writes the configuration by compare-and-swap with the revision
/// max(store's, daemons') + 1. Writes nothing if the content is already in
/// force.
CommandResult applyConfig(const ToolContext &context,
                          const ApplyRequest &request);

/// `diff FILE`: shows what `apply FILE` would change.
CommandResult diffConfig(const ToolContext &context, const std::string &file,
                         const std::string &text);

} // namespace savorylb

#endif // SAVORYCTL_CONFIG_COMMANDS_H
