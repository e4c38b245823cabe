#ifndef SAVORYCTL_COMMAND_LINE_H
#define SAVORYCTL_COMMAND_LINE_H

#include "command_result.h"
#include "tool_context.h"

#include "savorylb/units.h"

#include <functional>
#include <optional>
#include <string>

namespace savorylb {

/// The parsed command line.
struct CommandLine {
  std::string StoreUrl = "http://127.0.0.1:8500";
  Duration Timeout = Seconds(2);
  std::string Operator;
  bool Json = false;
  std::function<CommandResult(const ToolContext &)> Command;
};

/// Parses the arguments; prints help and usage errors.
/// \param out receives the command and its options.
/// \returns the exit code if there is no command to run, otherwise nothing.
std::optional<ExitCode> parseCommandLine(int argc, const char *const *argv,
                                         CommandLine &out);

} // namespace savorylb

#endif // SAVORYCTL_COMMAND_LINE_H
