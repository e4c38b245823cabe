#ifndef SAVORYLB_HTTP_FIXTURE_H
#define SAVORYLB_HTTP_FIXTURE_H

#include "http_connection.h"
#include "http_server.h"

#include <chrono>
#include <string>

// Redefines operator new; must be included after the standard headers.
#include <CppUTest/TestHarness.h>

namespace savorylb::test {

/// Each test uses its own port.
inline int NextPort = 8401;

inline std::string nextAddress() {
  return "127.0.90.1:" + std::to_string(NextPort++);
}

inline HttpMessage rejection(int status, const char *reason) {
  return jsonResponse(status, reason);
}

inline std::string requestText(const std::string &path,
                               const std::string &method = "GET") {
  return method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/// A server that responds to each request with its path.
struct EchoServer {
  asio::io_context Io;
  std::string Address = nextAddress();
  int Forwarded = 0;
  HttpServer Server{Io, [this](const auto &request) { answer(request); },
                    rejection};

  EchoServer() { CHECK_TRUE(Server.listen(Address)); }

  /// Responds after the handler has returned, as a forwarded request does.
  void answer(const std::shared_ptr<ServedRequest> &request) {
    ++Forwarded;
    asio::post(Io, [request] {
      request->Respond(jsonResponse(200, request->Message.Path));
    });
  }

  /// Runs the loop until it has been idle for the given time.
  void run(Millis span) {
    Io.run_for(span);
    Io.restart();
  }
};

/// A blocking client, so that bytes reach the server's socket while its loop
/// does not run.
struct BlockingClient {
  asio::io_context Io;
  asio::ip::tcp::socket Socket{Io};

  explicit BlockingClient(const std::string &address) {
    Socket.connect(*parseEndpoint(address));
  }

  void send(const std::string &text) {
    asio::write(Socket, asio::buffer(text));
  }

  void sendRequest(const std::string &path) { send(requestText(path)); }

  /// \returns the bytes that have arrived; empty if the server closed the
  ///          connection or sent nothing.
  std::string receive() {
    char buf[4096];
    boost::system::error_code ec;
    Socket.non_blocking(true);
    std::size_t n = Socket.read_some(asio::buffer(buf), ec);
    Socket.non_blocking(false);
    return ec ? "" : std::string(buf, n);
  }
};

} // namespace savorylb::test

#endif // SAVORYLB_HTTP_FIXTURE_H
