#ifndef SAVORYCTL_STATUS_TEXT_H
#define SAVORYCTL_STATUS_TEXT_H

#include <json/json.h>

#include <string>

namespace savorylb {

/// \returns the header of the table that statusLine() fills.
std::string statusHeader();

/// \param status response body of `GET /v1/status`.
/// \returns one line of the table, and one for each rollout that the daemon
/// stopped on its own evidence or on that of a peer.
std::string statusLine(const Json::Value &status);

} // namespace savorylb

#endif // SAVORYCTL_STATUS_TEXT_H
