#include "caller_connection.h"

#include "savorylb/clock.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <array>
#include <cerrno>
#include <linux/filter.h>
#include <memory>
#include <poll.h>
#include <string>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace savorylb {
namespace {

using Poco::Net::HTTPRequestHandlerFactory;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerParams;
using Poco::Net::StreamSocket;

/// How long to wait until the caller closes its side. Closing a socket with
/// unread bytes resets the connection, and the caller may lose a response in
/// transit.
constexpr Duration LingerLimit = Seconds(1);
/// TCP handshakes in progress complete within this time, a round trip between
/// regions.
constexpr Duration HandshakeTime = Millis(200);
/// Longest time to wait until no connection has been pending for HandshakeTime.
constexpr Duration StopListeningLimit = Seconds(2);
constexpr Duration PollInterval = Millis(20);

/// Sent when an idle connection is closed. A request that crosses the close in
/// transit gets this response; if the connection just ended, its caller could
/// not tell whether the request ran.
std::string drainingResponse() {
  std::string body = "{\"outcome\":\"not-run\",\"reason\":\"draining\","
                     "\"detail\":\"\",\"retry_after_ms\":0}\n";
  return "HTTP/1.1 503 Service Unavailable\r\nConnection: Close\r\n"
         "X-Outcome: not-run\r\nX-Reason: draining\r\n"
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

int fileDescriptor(const StreamSocket &socket) {
  return socket.impl()->sockfd();
}

class CallerSession final : public Poco::Net::HTTPServerSession {
public:
  using HTTPServerSession::HTTPServerSession;
  bool hasBufferedBytes() const { return buffered() > 0; }
};

class CallerConnection final : public Poco::Net::HTTPServerConnection {
public:
  CallerConnection(CallerConnections &shared, const StreamSocket &socket,
                   const HTTPServerParams::Ptr &params,
                   const HTTPRequestHandlerFactory::Ptr &handlers)
      : HTTPServerConnection(socket, params, handlers), Shared(shared),
        Params(params), Handlers(handlers) {
    ++Shared.Open;
  }
  ~CallerConnection() override { --Shared.Open; }
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;

  void run() override {
    CallerSession session(socket(), Params);
    Poco::Timespan timeout = Params->getTimeout();
    while (awaitRequest(session, timeout) && session.hasMoreRequests() &&
           serve(session))
      timeout = Params->getKeepAliveTimeout();
    shutdownGracefully();
  }

private:
  CallerConnections &Shared;
  HTTPServerParams::Ptr Params;
  HTTPRequestHandlerFactory::Ptr Handlers;

  /// \returns true when bytes of a request or the end of the stream have
  /// arrived, false after the timeout or when idle connections are to be
  /// closed.
  bool awaitRequest(const CallerSession &session,
                    const Poco::Timespan &timeout) {
    if (session.hasBufferedBytes())
      return true;
    std::array<pollfd, 2> polled{{{fileDescriptor(socket()), POLLIN, 0},
                                  {Shared.CloseEventFd, POLLIN, 0}}};
    int wait = static_cast<int>(timeout.totalMilliseconds());
    int n = 0;
    do
      n = poll(polled.data(), polled.size(), wait);
    while (n < 0 && errno == EINTR);
    if (n <= 0)
      return false;
    // A request that has arrived is served, even if the connection is to be
    // closed.
    if (polled[0].revents != 0)
      return true;
    std::string response = drainingResponse();
    send(fileDescriptor(socket()), response.data(), response.size(),
         MSG_NOSIGNAL | MSG_DONTWAIT);
    return false;
  }

  /// \returns whether another request may follow.
  bool serve(CallerSession &session) {
    bool parsed = false;
    try {
      Poco::Net::HTTPServerResponseImpl response(session);
      Poco::Net::HTTPServerRequestImpl request(response, session, Params.get());
      parsed = true;
      response.setDate(Poco::Timestamp());
      response.setVersion(request.getVersion());
      response.setKeepAlive(Params->getKeepAlive() && request.getKeepAlive() &&
                            session.canKeepAlive());
      std::unique_ptr<Poco::Net::HTTPRequestHandler> handler(
          Handlers->createRequestHandler(request));
      if (request.getExpectContinue())
        response.sendContinue();
      handler->handleRequest(request, response);
      session.setKeepAlive(Params->getKeepAlive() && response.getKeepAlive() &&
                           session.canKeepAlive());
      return true;
    } catch (const Poco::Net::NoMessageException &) {
      // The caller closed an idle connection.
    } catch (const Poco::Net::MessageException &) {
      sendBadRequest(session, parsed);
    } catch (const Poco::Exception &) {
      // The connection failed; the handler has recorded the outcome of the
      // request.
    }
    return false;
  }

  void sendBadRequest(CallerSession &session, bool parsed) {
    if (parsed)
      return;
    try {
      sendErrorResponse(session, HTTPResponse::HTTP_BAD_REQUEST);
    } catch (const Poco::Exception &) {
      // The caller has disconnected.
    }
  }

  /// Shuts down the sending side, then reads until the caller has closed its
  /// side or LingerLimit has passed.
  void shutdownGracefully() {
    int fd = fileDescriptor(socket());
    shutdown(fd, SHUT_WR);
    std::array<char, 8192> scratch{};
    MonoTime limit = monoNow() + LingerLimit;
    for (MonoTime now = monoNow(); now < limit; now = monoNow()) {
      pollfd polled{fd, POLLIN, 0};
      auto left = std::chrono::duration_cast<Millis>(limit - now).count();
      if (poll(&polled, 1, static_cast<int>(left) + 1) <= 0 ||
          recv(fd, scratch.data(), scratch.size(), MSG_DONTWAIT) <= 0)
        return;
    }
  }
};

class CallerConnectionFactory final
    : public Poco::Net::TCPServerConnectionFactory {
public:
  CallerConnectionFactory(CallerConnections &shared,
                          HTTPServerParams::Ptr params,
                          HTTPRequestHandlerFactory::Ptr handlers)
      : Shared(shared), Params(std::move(params)),
        Handlers(std::move(handlers)) {}

  Poco::Net::TCPServerConnection *
  createConnection(const StreamSocket &socket) override {
    return new CallerConnection(Shared, socket, Params, Handlers);
  }

private:
  CallerConnections &Shared;
  HTTPServerParams::Ptr Params;
  HTTPRequestHandlerFactory::Ptr Handlers;
};

/// Drops the SYN packets of new connections: their callers retry and are
/// refused once the socket is closed. Handshakes in progress still complete,
/// whereas closing a listening socket resets all connections that were not
/// accepted.
/// \returns false when the packet filter could not be attached.
bool dropNewConnections(int fd) {
  constexpr std::uint32_t FlagsOffset = 13;
  constexpr std::uint32_t SynFlag = 0x02;
  constexpr std::uint32_t WholePacket = 0xffffffff;
  std::array<sock_filter, 4> code{
      {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset),
       BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, SynFlag, 0, 1),
       BPF_STMT(BPF_RET | BPF_K, 0), BPF_STMT(BPF_RET | BPF_K, WholePacket)}};
  sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
  return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                    sizeof program) == 0;
}

bool hasPendingConnections(const Poco::Net::TCPServer &server, int fd) {
  pollfd polled{fd, POLLIN, 0};
  return server.queuedConnections() > 0 || poll(&polled, 1, 0) > 0;
}

} // namespace

CallerConnections::CallerConnections()
    : CloseEventFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

CallerConnections::~CallerConnections() { close(CloseEventFd); }

Poco::Net::TCPServerConnectionFactory::Ptr
makeCallerConnections(CallerConnections &shared, HTTPServerParams::Ptr params,
                      HTTPRequestHandlerFactory::Ptr handlers) {
  return new CallerConnectionFactory(shared, std::move(params),
                                     std::move(handlers));
}

void closeIdleConnections(CallerConnections &shared) {
  eventfd_write(shared.CloseEventFd, 1);
}

bool stopListening(Poco::Net::TCPServer &server) {
  Poco::Net::ServerSocket socket(server.socket());
  int fd = socket.impl()->sockfd();
  dropNewConnections(fd);
  MonoTime limit = monoNow() + StopListeningLimit;
  MonoTime emptySince = monoNow();
  while (monoNow() - emptySince < HandshakeTime && monoNow() < limit) {
    if (hasPendingConnections(server, fd))
      emptySince = monoNow();
    std::this_thread::sleep_for(PollInterval);
  }
  bool empty = !hasPendingConnections(server, fd);
  server.stop();
  socket.close();
  return empty;
}

} // namespace savorylb
