#ifndef SAVORYLB_SAVORYLBD_DRAIN_H
#define SAVORYLB_SAVORYLBD_DRAIN_H

#include <Poco/Net/TCPServer.h>

namespace savorylb {

struct Daemon;

/// Begins a planned stop: lookups everywhere stop naming this VM.
void beginDrain(Daemon &daemon);

/// Waits until callers have moved and all work has ended, then hands all
/// resources off.
/// \param daemon the daemon.
/// \param callers the caller interface, which stops accepting connections.
void finishDrain(Daemon &daemon, Poco::Net::TCPServer &callers);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_DRAIN_H
