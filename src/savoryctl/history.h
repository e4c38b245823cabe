#ifndef SAVORYCTL_HISTORY_H
#define SAVORYCTL_HISTORY_H

#include "command_result.h"
#include "tool_context.h"

#include "savorylb/units.h"

#include <cstddef>

namespace savorylb {

/// Maximum number of history records.
constexpr std::size_t MaxHistoryRecords = 20;

/// Records an applied revision with its time and operator, and removes the
/// oldest records beyond the last 20. Records do not hold the document, and are
/// outside the prefix that daemons watch, so that daemons are not sent old
/// documents.
/// \returns true if the record was written.
bool recordHistory(const ToolContext &context, Revision rev);

/// `history`: shows the last applied revisions, newest first.
CommandResult showHistory(const ToolContext &context);

} // namespace savorylb

#endif // SAVORYCTL_HISTORY_H
