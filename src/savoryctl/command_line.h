#ifndef SAVORYCTL_COMMAND_LINE_H
#define SAVORYCTL_COMMAND_LINE_H

#include "command_result.h"
#include "tool_context.h"

#include "savorylb/units.h"

#include <functional>
#include <optional>
#include <string>

namespace savorylb {

/// What the command line asks for.
struct CommandLine {
  std::string StoreUrl = "http://127.0.0.1:8500";
  Duration Timeout = Seconds(2);
  std::string Operator;
  bool Json = false;
  std::function<CommandResult(const ToolContext &)> Command;
};

/// Parses the arguments; help and errors are printed.
/// \param out receives what to do.
/// \returns an exit code when there is nothing to do, else nothing.
std::optional<ExitCode> parseCommandLine(int argc, const char *const *argv,
                                         CommandLine &out);

} // namespace savorylb

#endif // SAVORYCTL_COMMAND_LINE_H
