#ifndef SAVORYCTL_HISTORY_H
#define SAVORYCTL_HISTORY_H

#include "command_result.h"
#include "tool_context.h"

#include "savorylb/units.h"

#include <cstddef>

namespace savorylb {

/// Applied revisions of the configuration that are kept.
constexpr std::size_t MaxHistoryRecords = 20;

/// Records an applied revision and removes the oldest records beyond the
/// last 20. Only time and operator are kept: daemons watch the whole prefix
/// and would be sent every old document.
/// \returns true when the record was written.
bool recordHistory(const ToolContext &context, Revision rev);

/// `history`: the last applied revisions, newest first.
CommandResult showHistory(const ToolContext &context);

} // namespace savorylb

#endif // SAVORYCTL_HISTORY_H
