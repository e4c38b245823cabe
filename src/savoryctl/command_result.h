#ifndef SAVORYCTL_COMMAND_RESULT_H
#define SAVORYCTL_COMMAND_RESULT_H

#include "exit_code.h"

#include <json/value.h>
#include <string>

namespace savorylb {

/// The outcome of a command.
struct CommandResult {
  ExitCode Code = ExitCode::Ok;
  /// Printed with `--json`.
  Json::Value Data{Json::objectValue};
  /// Printed otherwise, one or more lines.
  std::string Text;
};

/// \returns a result with the message as text and as `message` in the data.
CommandResult makeResult(ExitCode code, const std::string &message);
/// Adds a warning to the text and to `warnings` in the data.
void addWarning(CommandResult &result, const std::string &warning);

} // namespace savorylb

#endif // SAVORYCTL_COMMAND_RESULT_H
