#ifndef SAVORYCTL_DAEMON_STATUS_H
#define SAVORYCTL_DAEMON_STATUS_H

#include "command_result.h"
#include "tool_context.h"

#include "savorylb/units.h"

#include <string>
#include <vector>

namespace savorylb {

/// The highest revision of a document that any of several daemons holds.
struct HighestRevision {
  Revision Rev;
  /// Daemons that did not return a valid status.
  std::vector<std::string> FailedDaemons;
};

/// Queries daemons for the revision of a document that they hold.
/// \param daemons admin endpoints, `host:port`.
/// \param key the document's key in the store.
HighestRevision queryHighestRevision(const ToolContext &context,
                                     const std::vector<std::string> &daemons,
                                     const std::string &key);

/// `status`: shows the status that each daemon reports.
CommandResult showStatus(const ToolContext &context,
                         const std::vector<std::string> &daemons);

} // namespace savorylb

#endif // SAVORYCTL_DAEMON_STATUS_H
