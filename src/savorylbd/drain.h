#ifndef SAVORYLB_SAVORYLBD_DRAIN_H
#define SAVORYLB_SAVORYLBD_DRAIN_H

#include <Poco/Net/TCPServer.h>

namespace savorylb {

struct Daemon;

/// Begins to drain this VM for a graceful shutdown: all VMs stop naming it in
/// lookups.
void beginDrain(Daemon &daemon);

/// Waits until callers have moved to other VMs and all requests have ended,
/// then hands off all resources.
/// \param callers the server of the caller interface, which is stopped.
void finishDrain(Daemon &daemon, Poco::Net::TCPServer &callers);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_DRAIN_H
