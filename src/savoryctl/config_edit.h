#ifndef SAVORYCTL_CONFIG_EDIT_H
#define SAVORYCTL_CONFIG_EDIT_H

#include "document_edit.h"

#include <functional>
#include <string>
#include <vector>

namespace savorylb {

/// Result of an edit of the configuration as JSON.
struct ConfigEditResult {
  ExitCode Code = ExitCode::Ok;
  std::string Message;
  /// False if the document needs no change.
  bool Changed = false;
};

using ConfigEditFunction =
    std::function<ConfigEditResult(Json::Value &document)>;

/// Edits the configuration in the store, validates the result and records it in
/// the history.
CommandResult editConfig(const ToolContext &context,
                         const std::vector<std::string> &daemons,
                         const ConfigEditFunction &edit);

} // namespace savorylb

#endif // SAVORYCTL_CONFIG_EDIT_H
