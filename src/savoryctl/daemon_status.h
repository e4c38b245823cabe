#ifndef SAVORYCTL_DAEMON_STATUS_H
#define SAVORYCTL_DAEMON_STATUS_H

#include "command_result.h"
#include "tool_context.h"

#include "savorylb/units.h"

#include <string>
#include <vector>

namespace savorylb {

/// The highest revision of a document that daemons know.
struct HighestRevision {
  Revision Rev;
  /// Daemons that did not answer.
  std::vector<std::string> FailedDaemons;
};

/// Asks daemons which revision of a document they hold.
/// \param context the outside.
/// \param daemons admin endpoints, `host:port`.
/// \param key the document's key in the store.
HighestRevision queryHighestRevision(const ToolContext &context,
                                     const std::vector<std::string> &daemons,
                                     const std::string &key);

/// `status`: what each daemon says of itself.
CommandResult showStatus(const ToolContext &context,
                         const std::vector<std::string> &daemons);

} // namespace savorylb

#endif // SAVORYCTL_DAEMON_STATUS_H
