#ifndef SAVORYLB_LIBSAVORYEDGE_SCRIPTED_SERVER_H
#define SAVORYLB_LIBSAVORYEDGE_SCRIPTED_SERVER_H

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace savorylb {

/// HTTP server for tests that sends a scripted response on each connection.
struct ScriptedServer {
  Poco::Net::ServerSocket Socket{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::atomic<bool> Stopping{false};
  std::atomic<int> Connections{0};
  /// Returns the raw response to a request head; the connection is closed after
  /// it is sent.
  std::function<std::string(const std::string &head)> Reply;
  std::thread Thread;

  explicit ScriptedServer(
      std::function<std::string(const std::string &head)> reply)
      : Reply(std::move(reply)), Thread([this] { run(); }) {}
  ~ScriptedServer() {
    Stopping = true;
    Thread.join();
  }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  std::string address() const { return Socket.address().toString(); }

private:
  static std::string readHead(Poco::Net::StreamSocket &socket) {
    std::string head;
    char c = 0;
    while (head.find("\r\n\r\n") == std::string::npos &&
           socket.receiveBytes(&c, 1) == 1)
      head += c;
    return head;
  }

  void run() {
    while (!Stopping) {
      if (!Socket.poll(Poco::Timespan(20'000), Poco::Net::Socket::SELECT_READ))
        continue;
      Poco::Net::StreamSocket socket = Socket.acceptConnection();
      ++Connections;
      std::string bytes = Reply(readHead(socket));
      if (!bytes.empty())
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      socket.shutdownSend();
    }
  }
};

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_SCRIPTED_SERVER_H
