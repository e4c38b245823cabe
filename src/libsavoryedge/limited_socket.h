#ifndef SAVORYLB_LIBSAVORYEDGE_LIMITED_SOCKET_H
#define SAVORYLB_LIBSAVORYEDGE_LIMITED_SOCKET_H

#include "head_check.h"
#include "savorylb/units.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <cstdint>
#include <limits>
#include <string>

namespace savorylb {

/// A socket whose reads fail after a deadline or a number of bytes, or when the
/// head of a response is invalid. The receive timeout limits only each read, so
/// a peer that sends without end would be read without end.
class LimitedSocketImpl : public Poco::Net::StreamSocketImpl {
public:
  using StreamSocketImpl::receiveBytes;
  /// Throws Poco::TimeoutException after the deadline, and
  /// Poco::DataException after the last byte or for an invalid head.
  int receiveBytes(void *buffer, int length, int flags) override;

  MonoTime Deadline = MonoTime::max();
  std::int64_t BytesLeft = std::numeric_limits<std::int64_t>::max();
  HeadCheck Head;
  /// An invalid head was received.
  bool HeadInvalid = false;
};

/// Declares that the next bytes received are the head of a response. A new
/// socket expects one.
/// \param socket a socket with a LimitedSocketImpl.
void expectHead(Poco::Net::Socket &socket);

/// \param socket a socket with a LimitedSocketImpl.
/// \returns whether the socket received an invalid head.
bool receivedInvalidHead(const Poco::Net::Socket &socket);

/// Sets the deadline of a socket's reads.
/// \param socket a socket with a LimitedSocketImpl.
void setReadDeadline(Poco::Net::Socket &socket, MonoTime deadline);

/// Connects to a server that is read once.
/// \param timeout limit for connecting, each write and the whole response.
/// \param maxBytes limit of the response.
Poco::Net::StreamSocket connectLimited(const std::string &host,
                                       std::uint16_t port, Duration timeout,
                                       std::int64_t maxBytes);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_LIMITED_SOCKET_H
