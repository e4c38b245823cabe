#include "command_result.h"

namespace savorylb {

CommandResult makeResult(ExitCode code, const std::string &message) {
  CommandResult out;
  out.Code = code;
  out.Data["message"] = message;
  out.Text = message + "\n";
  return out;
}

void addWarning(CommandResult &result, const std::string &warning) {
  result.Data["warnings"].append(warning);
  result.Text += "warning: " + warning + "\n";
}

} // namespace savorylb
