#ifndef SAVORYLB_SAVORYLBD_ADMIN_SERVER_H
#define SAVORYLB_SAVORYLBD_ADMIN_SERVER_H

#include <Poco/Net/HTTPServer.h>
#include <memory>

namespace savorylb {

struct Daemon;

/// Starts the HTTP server for operators: health, metrics, status and drain.
/// \returns null when the port cannot be bound.
std::unique_ptr<Poco::Net::HTTPServer> startAdminServer(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ADMIN_SERVER_H
