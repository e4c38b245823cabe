#ifndef SAVORYLB_LIBSAVORYEDGE_TARGET_PROBE_H
#define SAVORYLB_LIBSAVORYEDGE_TARGET_PROBE_H

#include "savorylb/error.h"
#include "savorylb/target_client.h"

#include <string>

namespace savorylb {

/// Reads `GET /load` of a target on a fresh connection.
/// \param address `host:port`.
/// \returns the report with its age and the round trip subtracted.
Result<LoadReport> readTargetLoad(const std::string &address);

/// Reads `GET /health` of a target on a fresh connection.
/// \param address `host:port`.
/// \returns whether it takes requests, or why it could not be read.
Result<TargetHealth> probeTargetHealth(const std::string &address);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_TARGET_PROBE_H
