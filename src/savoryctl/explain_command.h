#ifndef SAVORYCTL_EXPLAIN_COMMAND_H
#define SAVORYCTL_EXPLAIN_COMMAND_H

#include "command_result.h"

#include <istream>
#include <string>

namespace savorylb {

/// `explain`: the story of one request from the logs of several VMs.
/// \param log lines of all VMs.
/// \param trace the id of the caller's attempt.
CommandResult explainRequest(std::istream &log, const std::string &trace);

} // namespace savorylb

#endif // SAVORYCTL_EXPLAIN_COMMAND_H
