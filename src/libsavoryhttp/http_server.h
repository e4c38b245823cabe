#ifndef SAVORYLB_HTTP_SERVER_H
#define SAVORYLB_HTTP_SERVER_H

#include "http_reader.h"
#include "savorylb/units.h"

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace savorylb {

namespace asio = boost::asio;

/// A received request that awaits its response.
struct ServedRequest {
  HttpMessage Message;
  /// Time when its first byte was read.
  MonoTime ArrivedAt{};
  /// Sends the response; has no effect after the client disconnected.
  std::function<void(HttpMessage)> Respond;
  /// Closes the connection without a response.
  std::function<void()> Abort;
  /// Optional. Called at most once, if the server can wait no longer for the
  /// response. Must respond before it returns, and say truthfully whether the
  /// request may have run.
  std::function<void()> OnBreakOff;
  /// Set before OnClose when the server closed the connection, not the client.
  bool ClosedByServer = false;
  /// Called once if the connection closes before the response, including a
  /// close by Abort().
  std::function<void()> OnClose;
};

/// Reason of the rejection of a request that came too late for a server that
/// stops.
inline constexpr char StoppingReason[] = "stopping";

/// Limits of client requests and connections.
struct SessionLimits {
  std::int64_t MaxHeaderBytes = 16384;
  std::int64_t MaxBodyBytes = 1 << 20;
  /// From the first byte to the end of the header.
  Duration HeaderTimeout = Seconds(3);
  /// Between requests, and between reads of a body.
  Duration IdleTimeout = Seconds(15);
  /// Between writes of a response.
  Duration WriteTimeout = Seconds(10);
  /// Requests of one connection whose responses have not been sent. Bounds what
  /// one client can have in progress.
  std::size_t MaxOutstanding = 16;
  /// Bytes of one connection's responses that wait for the response to an
  /// earlier request; no further request is taken above it.
  std::size_t MaxWaitingBytes = 1 << 20;
};

/// An HTTP/1.1 server on one address.
class HttpServer {
public:
  using Handler = std::function<void(const std::shared_ptr<ServedRequest> &)>;
  /// Decides whether a request may be handled while other requests of its
  /// connection are. It must be safe to send again, as the client does if an
  /// earlier response closes the connection.
  using ConcurrencyRule = std::function<bool(const HttpMessage &)>;
  /// Builds the response to an invalid request from a status and a reason.
  using RejectionHandler = std::function<HttpMessage(int, const char *)>;

  HttpServer(asio::io_context &io, Handler handler, RejectionHandler rejection);

  /// Binds the address and accepts connections.
  /// \returns false if the address is invalid or cannot be bound.
  bool listen(const std::string &address);

  /// Sets the limits. They apply from the next request of each connection; a
  /// longer idle timeout applies to idle connections as well.
  void setLimits(const SessionLimits &limits) { Limits = limits; }

  /// Sets the budget that is charged with the requests. A request
  /// that does not fit is rejected with 503 before it reaches the handler.
  void setBodyBudget(std::shared_ptr<ByteBudget> budget) {
    BodyBudget = std::move(budget);
  }

  /// Sets which requests are handled concurrently; none by default.
  void setConcurrencyRule(ConcurrencyRule rule) {
    IsConcurrent = std::move(rule);
  }

  /// From now on, a connection closes after the responses to the requests that
  /// were taken from it. Requests that are read behind them are rejected with
  /// 503 and StoppingReason. An idle connection still takes one request.
  void startDrain();

  /// From now on, a request without a response no longer delays the handler's
  /// responses behind it on its connection: ServedRequest::OnBreakOff is
  /// called.
  void releaseResponses();

  /// Calls ServedRequest::OnBreakOff of all requests that await their response,
  /// and rejects those that have not been received completely.
  void breakOffRequests();

  /// Accepts the connections that clients have opened, and no later ones.
  void stopAccepting();

  /// Closes all idle connections and stops accepting new ones.
  void closeIdle();

  /// \returns the number of requests that await their response.
  int inFlight() const { return InFlight; }
  /// \returns the number of open connections, including those whose last
  ///          response is being written.
  std::size_t connections() const { return Sessions.size(); }

private:
  class Session;
  void acceptNext();
  void startSession(asio::ip::tcp::socket socket);
  /// \returns the open connections. Unlike Sessions, they stay valid while
  ///          connections close.
  std::vector<std::shared_ptr<Session>> sessions() const;

  asio::io_context &Io;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer AcceptRetryTimer;
  Handler Handle;
  RejectionHandler Reject;
  ConcurrencyRule IsConcurrent;
  SessionLimits Limits;
  std::shared_ptr<ByteBudget> BodyBudget;
  bool Draining = false;
  bool ReleasingResponses = false;
  int InFlight = 0;
  std::set<std::shared_ptr<Session>> Sessions;
};

} // namespace savorylb

#endif // SAVORYLB_HTTP_SERVER_H
