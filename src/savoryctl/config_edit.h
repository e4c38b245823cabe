#ifndef SAVORYCTL_CONFIG_EDIT_H
#define SAVORYCTL_CONFIG_EDIT_H

#include "document_edit.h"

#include <functional>
#include <string>
#include <vector>

namespace savorylb {

/// How an edit of the configuration's JSON ended.
struct ConfigEditResult {
  ExitCode Code = ExitCode::Ok;
  std::string Message;
  /// False when the document is as wanted already.
  bool Changed = false;
};

using ConfigEditFunction =
    std::function<ConfigEditResult(Json::Value &document)>;

/// Edits the configuration in the store, checks the result and records it in
/// the history.
CommandResult editConfig(const ToolContext &context,
                         const std::vector<std::string> &daemons,
                         const ConfigEditFunction &edit);

} // namespace savorylb

#endif // SAVORYCTL_CONFIG_EDIT_H
