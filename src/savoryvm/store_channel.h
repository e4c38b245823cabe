#ifndef SAVORYLB_STORE_CHANNEL_H
#define SAVORYLB_STORE_CHANNEL_H

#include "http_connection.h"
#include "savorylb/error.h"

#include <functional>
#include <memory>
#include <string>

namespace savorylb {

/// One connection to a server, which carries one call at a time and is opened
/// again when it has ended.
class StoreChannel {
public:
  using Done = std::function<void(const Result<HttpMessage> &)>;

  StoreChannel(asio::any_io_executor io, std::string address)
      : Io(std::move(io)), Address(std::move(address)) {}
  ~StoreChannel() { close(); }

  /// Calls the server; no other call may be on its way.
  /// \param request the call.
  /// \param timeout for connection and response.
  /// \param done gets the response, or Unavailable when nothing was sent, or
  ///        Unknown when the call may have taken effect.
  void call(HttpMessage request, Duration timeout, const Done &done);

  void close();

private:
  void transmit(const HttpMessage &request, Duration timeout, const Done &done);

  asio::any_io_executor Io;
  std::string Address;
  std::shared_ptr<HttpConnection> Connection;
};

} // namespace savorylb

#endif // SAVORYLB_STORE_CHANNEL_H
