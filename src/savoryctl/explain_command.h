#ifndef SAVORYCTL_EXPLAIN_COMMAND_H
#define SAVORYCTL_EXPLAIN_COMMAND_H

#include "command_result.h"

#include <istream>
#include <string>

namespace savorylb {

/// `explain`: shows the events and the cause of the outcome of one request,
/// from the logs of several VMs.
/// \param log log lines of all VMs, in any order.
/// \param trace the attempt id of the caller, logged as `trace`.
CommandResult explainRequest(std::istream &log, const std::string &trace);

} // namespace savorylb

#endif // SAVORYCTL_EXPLAIN_COMMAND_H
