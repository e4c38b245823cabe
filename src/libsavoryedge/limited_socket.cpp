#include "limited_socket.h"

#include "savorylb/clock.h"

#include <Poco/Exception.h>
#include <algorithm>

namespace savorylb {

int LimitedSocketImpl::receiveBytes(void *buffer, int length, int flags) {
  if (monoNow() >= Deadline)
    throw Poco::TimeoutException("the response did not end in time");
  if (BytesLeft <= 0)
    throw Poco::DataException("the response is too large");
  auto most = static_cast<int>(std::min<std::int64_t>(length, BytesLeft));
  int n = StreamSocketImpl::receiveBytes(buffer, most, flags);
  BytesLeft -= n;
  if (n > 0 && !checkHead(Head, static_cast<const char *>(buffer),
                          static_cast<std::size_t>(n)))
    HeadInvalid = true;
  if (HeadInvalid)
    throw Poco::DataException("the head of the response is invalid");
  return n;
}

void expectHead(Poco::Net::Socket &socket) {
  if (auto *impl = dynamic_cast<LimitedSocketImpl *>(socket.impl()))
    impl->Head = HeadCheck();
}

bool receivedInvalidHead(const Poco::Net::Socket &socket) {
  auto *impl = dynamic_cast<LimitedSocketImpl *>(socket.impl());
  return impl && impl->HeadInvalid;
}

void setReadDeadline(Poco::Net::Socket &socket, MonoTime deadline) {
  if (auto *impl = dynamic_cast<LimitedSocketImpl *>(socket.impl()))
    impl->Deadline = deadline;
}

Poco::Net::StreamSocket connectLimited(const std::string &host,
                                       std::uint16_t port, Duration timeout,
                                       std::int64_t maxBytes) {
  MonoTime deadline = monoNow() + timeout;
  auto *impl = new LimitedSocketImpl;
  Poco::Net::StreamSocket socket(impl);
  Poco::Timespan span(timeout.count());
  socket.connect(Poco::Net::SocketAddress(host, port), span);
  socket.setSendTimeout(span);
  socket.setReceiveTimeout(span);
  impl->Deadline = deadline;
  impl->BytesLeft = maxBytes;
  return socket;
}

} // namespace savorylb
