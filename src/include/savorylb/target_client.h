#ifndef SAVORYLB_TARGET_CLIENT_H
#define SAVORYLB_TARGET_CLIENT_H

#include "savorylb/error.h"
#include "savorylb/header_list.h"
#include "savorylb/ids.h"
#include "savorylb/response_sink.h"
#include "savorylb/slot_table.h"
#include "savorylb/target_health.h"
#include "savorylb/target_outcome.h"
#include "savorylb/target_request.h"
#include "savorylb/target_response.h"
#include "savorylb/units.h"

#include <functional>
#include <ostream>
#include <string>

namespace savorylb {

/// Interface to targets.
struct TargetClient {
  std::function<TargetResponse(const TargetRequest &, const ResponseSink &)>
      Send;
  /// Reads the load endpoint of a target.
  std::function<Result<LoadReport>(const std::string &address)> ReadLoad;
  /// Probes the health endpoint.
  std::function<Result<TargetHealth>(const std::string &address)> ProbeHealth;
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_CLIENT_H
