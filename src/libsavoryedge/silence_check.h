#ifndef SAVORYLB_LIBSAVORYEDGE_SILENCE_CHECK_H
#define SAVORYLB_LIBSAVORYEDGE_SILENCE_CHECK_H

#include "connection_pool.h"

namespace savorylb {

/// A reused connection is suspected to be unresponsive when a request waits on
/// it for at least MinUnresponsiveTime and UnresponsiveFactor times the longest
/// recent response time. Most requests end sooner. Together with
/// IdleProbeTimeout the retry then starts within a second, unless the target's
/// recent responses took longer than about 60 ms.
constexpr Duration MinUnresponsiveTime = Millis(400);
constexpr int UnresponsiveFactor = 10;
constexpr Duration IdleProbeTimeout = Millis(400);

/// Sends a health probe on the oldest idle connection to the target. If it
/// times out, all existing connections to the target are marked unresponsive,
/// since a fault that drops the packets of one usually drops those of all.
/// \param openedAt when the suspected connection was opened.
/// \returns false when an idle connection at least as old responds; true when
/// the probe fails or there is no such connection.
bool remainsSuspectAfterProbe(ConnectionPool &pool, const std::string &address,
                              MonoTime openedAt);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_SILENCE_CHECK_H
