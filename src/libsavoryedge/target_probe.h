#ifndef SAVORYLB_LIBSAVORYEDGE_TARGET_PROBE_H
#define SAVORYLB_LIBSAVORYEDGE_TARGET_PROBE_H

#include "savorylb/error.h"
#include "savorylb/target_client.h"

#include <string>

namespace savorylb {

/// Reads the load report of a target (`GET /load`) over a new connection.
/// \param address `host:port`.
/// \returns the report, whose MeasuredAt allows for its age and the round trip.
Result<LoadReport> readTargetLoad(const std::string &address);

/// Probes the health of a target (`GET /health`) over a new connection.
/// \param address `host:port`.
/// \returns the target's health, or why the probe failed.
Result<TargetHealth> probeTargetHealth(const std::string &address);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_TARGET_PROBE_H
