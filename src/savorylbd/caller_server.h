#ifndef SAVORYLB_SAVORYLBD_CALLER_SERVER_H
#define SAVORYLB_SAVORYLBD_CALLER_SERVER_H

#include <Poco/Net/TCPServer.h>
#include <memory>

namespace savorylb {

struct Daemon;

/// Starts the server of the caller interface: lookups and requests.
/// \returns null when the port cannot be bound.
std::unique_ptr<Poco::Net::TCPServer> startCallerServer(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_CALLER_SERVER_H
