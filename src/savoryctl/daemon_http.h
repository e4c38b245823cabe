#ifndef SAVORYCTL_DAEMON_HTTP_H
#define SAVORYCTL_DAEMON_HTTP_H

#include "savorylb/error.h"
#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// Calls a daemon's admin interface.
/// \param method `GET` or `POST`.
/// \param endpoint `host:port`.
/// \param path path such as `/v1/status`.
/// \param timeout limit for connecting and for each read.
/// \returns the response body; Unavailable if nothing was sent, Refused for a
/// status other than 2xx, Unknown or Timeout if the call may have taken effect.
Result<std::string> callDaemon(const std::string &method,
                               const std::string &endpoint,
                               const std::string &path, Duration timeout);

} // namespace savorylb

#endif // SAVORYCTL_DAEMON_HTTP_H
