#ifndef SAVORYLB_HTTP_CHANNEL_H
#define SAVORYLB_HTTP_CHANNEL_H

#include "http_connection.h"
#include "savorylb/error.h"

#include <functional>
#include <memory>
#include <string>

namespace savorylb {

/// A persistent HTTP connection to the store or to another VM. It carries one
/// call at a time and is reopened when it has been closed.
class HttpChannel {
public:
  using Done = std::function<void(const Result<HttpMessage> &)>;
  /// Asked immediately before the request is written.
  using MaySend = std::function<bool()>;

  HttpChannel(asio::any_io_executor io, std::string address)
      : Io(std::move(io)), Address(std::move(address)) {}
  ~HttpChannel() { close(); }

  /// Sends a request; no other call may be in progress.
  /// \param timeout limit for the response; also for connecting, if below
  ///        600 ms.
  /// \param done receives the response, Unavailable when nothing was sent, or
  ///        Timeout, Malformed or Unknown when the call may have taken effect:
  ///        Malformed if the response is too large, Unknown if the connection
  ///        ended before a complete response.
  /// \param maySend if it is given and returns false, nothing is sent.
  void call(HttpMessage request, Duration timeout, const Done &done,
            const MaySend &maySend = nullptr);

  /// Closes the connection; the callback of a call in progress is not called.
  void close();

private:
  void transmit(const HttpMessage &request, Duration timeout, const Done &done,
                const MaySend &maySend);

  asio::any_io_executor Io;
  std::string Address;
  std::shared_ptr<HttpConnection> Connection;
  /// Expires with the channel; a connect that is in progress may outlive it.
  std::shared_ptr<void> Lifetime = std::make_shared<char>();
};

} // namespace savorylb

#endif // SAVORYLB_HTTP_CHANNEL_H
