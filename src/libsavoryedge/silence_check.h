#ifndef SAVORYLB_LIBSAVORYEDGE_SILENCE_CHECK_H
#define SAVORYLB_LIBSAVORYEDGE_SILENCE_CHECK_H

#include "connection_pool.h"

namespace savorylb {

/// A request that waits this long on a kept connection, and this many times
/// longer than any recent one, suspects that the connection fell silent. Most
/// requests end sooner, and with SilenceTimeout a retry is on its way within a
/// second.
constexpr Duration SilenceSuspicion = Millis(400);
constexpr int SilenceFactor = 10;
constexpr Duration SilenceTimeout = Millis(400);

/// Sends a health probe on the oldest idle connection to the target. When it
/// does not answer, all kept connections to the target are taken as silent:
/// what drops the packets of one usually drops those of all.
/// \param openedAt when the suspected connection was opened.
/// \returns false when a connection at least as old answers.
bool keptConnectionsSuspect(ConnectionPool &pool, const std::string &address,
                            MonoTime openedAt);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_SILENCE_CHECK_H
