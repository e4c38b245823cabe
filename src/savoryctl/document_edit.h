#ifndef SAVORYCTL_DOCUMENT_EDIT_H
#define SAVORYCTL_DOCUMENT_EDIT_H

#include "command_result.h"
#include "tool_context.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savorylb {

/// What an edit makes of a document.
struct EditResult {
  /// Other than Ok ends the edit with the message.
  ExitCode Code = ExitCode::Ok;
  std::string Message;
  /// The whole new document; nothing when it is as wanted already.
  std::optional<std::string> NewContent;
};

/// Makes the next document.
/// \param current content of the document, empty when there is none.
/// \param next revision that the new document must carry.
using EditFunction =
    std::function<EditResult(const std::string &current, Revision next)>;

/// Edits one document by compare-and-swap. A racing change that won is read
/// and the edit is made on top of it.
///
/// The edit is refused while daemons hold a newer document than the store:
/// the store came back older and is about to be repaired, so an edit of the
/// older content would bring back withdrawn keys and the like.
/// \param context the outside.
/// \param key key of the document.
/// \param daemons admin endpoints to ask for the revisions they hold.
/// \param edit makes the next document.
/// \returns message, `revision` and `changed`.
CommandResult editDocument(const ToolContext &context, const std::string &key,
                           const std::vector<std::string> &daemons,
                           const EditFunction &edit);

} // namespace savorylb

#endif // SAVORYCTL_DOCUMENT_EDIT_H
