#ifndef SAVORYLB_LIBSAVORYEDGE_IDLE_CONNECTION_H
#define SAVORYLB_LIBSAVORYEDGE_IDLE_CONNECTION_H

#include "savorylb/units.h"

#include <Poco/Net/HTTPClientSession.h>
#include <memory>

namespace savorylb {

/// A connection that is kept for another request.
struct IdleConnection {
  std::unique_ptr<Poco::Net::HTTPClientSession> Session;
  MonoTime Since{};
  MonoTime OpenedAt{};
};

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_IDLE_CONNECTION_H
