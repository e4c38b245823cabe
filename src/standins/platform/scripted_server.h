#ifndef SAVORYLB_SCRIPTED_SERVER_H
#define SAVORYLB_SCRIPTED_SERVER_H

#include "http_message.h"

#include <boost/asio.hpp>
#include <functional>
#include <string>

namespace savorylb::standin {

namespace asio = boost::asio;

/// What a scripted server does after it has written a reply.
enum class ReplyEnd { KeepOpen, Close, Reset };

/// The raw bytes that a scripted server writes after one request.
struct ScriptedReply {
  std::string Bytes;
  /// Written again and again after Bytes until the client closes the
  /// connection.
  std::string Endless;
  ReplyEnd End = ReplyEnd::KeepOpen;
};

/// A server that writes arbitrary bytes instead of valid responses.
class ScriptedServer {
public:
  /// \param nth number of the request on its connection, from 1.
  using Script =
      std::function<ScriptedReply(const HttpMessage &request, int nth)>;

  ScriptedServer(asio::io_context &io, Script reply)
      : Acceptor(io), Reply(std::move(reply)) {}

  /// \param address `ip:port`.
  /// \returns false if the address cannot be bound.
  bool listen(const std::string &address);

  /// Replies as soon as the head of a request is complete and does not read the
  /// rest of its body.
  bool RepliesToHead = false;
  int Connections = 0;
  int Requests = 0;
  std::int64_t BytesWritten = 0;

private:
  class Session;
  void acceptNext();

  asio::ip::tcp::acceptor Acceptor;
  Script Reply;
};

} // namespace savorylb::standin

#endif // SAVORYLB_SCRIPTED_SERVER_H
