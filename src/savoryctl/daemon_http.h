#ifndef SAVORYCTL_DAEMON_HTTP_H
#define SAVORYCTL_DAEMON_HTTP_H

#include "savorylb/error.h"
#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// Calls a daemon's admin interface.
/// \param method `GET` or `POST`.
/// \param endpoint `host:port`.
/// \param path such as `/v1/status`.
/// \param timeout limit of connecting and of each read.
/// \returns the response body; Unavailable when nothing was sent, Refused for
/// another status than 2xx, Unknown or Timeout when the call may have run.
Result<std::string> callDaemon(const std::string &method,
                               const std::string &endpoint,
                               const std::string &path, Duration timeout);

} // namespace savorylb

#endif // SAVORYCTL_DAEMON_HTTP_H
