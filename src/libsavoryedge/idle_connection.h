#ifndef SAVORYLB_LIBSAVORYEDGE_IDLE_CONNECTION_H
#define SAVORYLB_LIBSAVORYEDGE_IDLE_CONNECTION_H

#include "savorylb/units.h"

#include <Poco/Net/HTTPClientSession.h>
#include <memory>

namespace savorylb {

/// An open connection without a request, kept for reuse.
struct IdleConnection {
  std::unique_ptr<Poco::Net::HTTPClientSession> Session;
  MonoTime IdleSince{};
  MonoTime OpenedAt{};
};

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_IDLE_CONNECTION_H
