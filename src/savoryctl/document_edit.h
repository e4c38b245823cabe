#ifndef SAVORYCTL_DOCUMENT_EDIT_H
#define SAVORYCTL_DOCUMENT_EDIT_H

#include "command_result.h"
#include "tool_context.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savorylb {

/// Result of an edit of a document.
struct EditResult {
  /// A code other than Ok ends the edit with the message.
  ExitCode Code = ExitCode::Ok;
  std::string Message;
  /// The whole new document; nothing if it needs no change.
  std::optional<std::string> NewContent;
};

/// Makes the new content of a document.
/// \param current content of the document, empty if there is none.
/// \param next revision that the new document must carry.
using EditFunction =
    std::function<EditResult(const std::string &current, Revision next)>;

/// Edits one document by compare-and-swap. After a conflicting write, reads the
/// document again and applies the edit to the new content.
///
/// Refuses the edit while daemons hold a newer revision than the store: the
/// store was restored to an older state and the daemons are about to repair it.
/// An edit of the older content would undo later changes, for example bring
/// back withdrawn keys.
/// \param key store key of the document.
/// \param daemons admin endpoints of daemons to query for the revisions they
/// hold.
/// \param edit makes the new content.
/// \returns a message, `revision` and `changed`.
CommandResult editDocument(const ToolContext &context, const std::string &key,
                           const std::vector<std::string> &daemons,
                           const EditFunction &edit);

} // namespace savorylb

#endif // SAVORYCTL_DOCUMENT_EDIT_H
