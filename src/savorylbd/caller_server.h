#ifndef SAVORYLB_SAVORYLBD_CALLER_SERVER_H
#define SAVORYLB_SAVORYLBD_CALLER_SERVER_H

#include <Poco/Net/HTTPServer.h>
#include <memory>

namespace savorylb {

struct Daemon;

/// Starts the interface for callers: lookups and requests.
/// \returns null when the port cannot be used.
std::unique_ptr<Poco::Net::HTTPServer> startCallerServer(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_CALLER_SERVER_H
