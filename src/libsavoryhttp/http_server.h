#ifndef SAVORYLB_HTTP_SERVER_H
#define SAVORYLB_HTTP_SERVER_H

#include "http_reader.h"
#include "savorylb/units.h"

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace savorylb {

namespace asio = boost::asio;

/// A request that waits for its response.
struct ServedRequest {
  HttpMessage Message;
  /// When its first byte was read.
  MonoTime ArrivedAt{};
  /// Sends the response; has no effect after the client has gone.
  std::function<void(HttpMessage)> Respond;
  /// Ends the connection without a response.
  std::function<void()> Abort;
  /// Called once if the client goes before the response.
  std::function<void()> OnGone;
};

/// What clients may send.
struct SessionLimits {
  std::int64_t MaxHeaderBytes = 16384;
  std::int64_t MaxBodyBytes = 1 << 20;
  Duration HeaderTimeout = Seconds(3);
  Duration IdleTimeout = Seconds(15);
};

/// Serves HTTP/1.1 on one address.
class HttpServer {
public:
  using Handler = std::function<void(const std::shared_ptr<ServedRequest> &)>;
  /// Answers a request that could not be read; status and reason.
  using Rejection = std::function<HttpMessage(int, const char *)>;

  HttpServer(asio::io_context &io, Handler handler, Rejection rejection);

  /// \returns whether the address could be bound.
  bool listen(const std::string &address);

  /// Takes effect for the next request of each connection.
  void setLimits(const SessionLimits &limits) { Limits = limits; }

  /// Responses say from now on that their connection ends.
  void startDrain() { Draining = true; }

  /// Ends all idle connections and accepts no new ones.
  void closeIdle();

  /// \returns the number of requests without a response.
  int inFlight() const { return Waiting; }
  std::size_t connections() const { return Sessions.size(); }

private:
  class Session;
  void acceptNext();

  asio::io_context &Io;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer AcceptPause;
  Handler Handle;
  Rejection Reject;
  SessionLimits Limits;
  bool Draining = false;
  int Waiting = 0;
  std::set<std::shared_ptr<Session>> Sessions;
};

} // namespace savorylb

#endif // SAVORYLB_HTTP_SERVER_H
