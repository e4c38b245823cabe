#ifndef SAVORYLB_STANDINS_FLEET_H
#define SAVORYLB_STANDINS_FLEET_H

#include "execution_log.h"
#include "target.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <memory>
#include <string>
#include <vector>

namespace savorylb::standin {

/// All targets of the process.
struct Fleet {
  ExecutionLog Log;
  std::vector<std::unique_ptr<Target>> Targets;
};

/// Reads target specifications from a file.
/// \param names names of the targets to return; empty means all.
/// Throws a Poco exception when the file is invalid or lacks one of the names.
std::vector<TargetSpec> readTargetList(const std::string &file,
                                       const std::vector<std::string> &names);

/// Handles a call on the control port: settings, counts and executions.
void handleControlCall(Fleet &fleet, Poco::Net::HTTPServerRequest &req,
                       Poco::Net::HTTPServerResponse &resp);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_FLEET_H
