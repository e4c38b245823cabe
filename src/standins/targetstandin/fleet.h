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

/// All targets of the process and their common log.
struct Fleet {
  ExecutionLog Log;
  std::vector<std::unique_ptr<Target>> Targets;
};

/// Reads target specifications from a file.
/// \param names targets to keep, or none for all.
/// Throws a Poco exception when the file is bad or a name is missing in it.
std::vector<TargetSpec> readTargetList(const std::string &file,
                                       const std::vector<std::string> &names);

/// Answers a call on the control port.
void answerFleetCall(Fleet &fleet, Poco::Net::HTTPServerRequest &req,
                     Poco::Net::HTTPServerResponse &resp);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_FLEET_H
