#include "scripted_server.h"

#include "http_connection.h"
#include "http_reader.h"

#include <memory>
#include <optional>

namespace savorylb::standin {
namespace {

constexpr std::int64_t MaxHeaderBytes = 65'536;
constexpr std::int64_t MaxBodyBytes = 64 << 20;
/// Bytes of one write of the endless part.
constexpr std::size_t BlockBytes = 65'536;

std::string repeated(const std::string &part) {
  std::string block;
  while (block.size() < BlockBytes)
    block += part;
  return block;
}

} // namespace

class ScriptedServer::Session : public std::enable_shared_from_this<Session> {
public:
  Session(ScriptedServer &server, asio::ip::tcp::socket socket)
      : Server(server), Socket(std::move(socket)), ReadBuffer(BlockBytes, 0) {}

  void readRequest() {
    if (!Reader)
      Reader.emplace(HttpReader::Kind::Request, MaxHeaderBytes, MaxBodyBytes);
    ReadState state = Reader->read(Buffer);
    if (state == ReadState::Invalid)
      return;
    bool early = Server.RepliesToHead && Reader->headComplete();
    if (state == ReadState::Complete || early) {
      HttpMessage request = std::move(Reader->message());
      Reader.reset();
      ++Server.Requests;
      ScriptedReply reply = Server.Reply(request, ++Requests);
      Out = reply.Bytes;
      Block = reply.Endless.empty() ? "" : repeated(reply.Endless);
      End = reply.End;
      write();
      return;
    }
    auto self = shared_from_this();
    Socket.async_read_some(
        asio::buffer(ReadBuffer),
        [self](const boost::system::error_code &ec, std::size_t n) {
          if (ec)
            return;
          self->Buffer.append(self->ReadBuffer.data(), n);
          self->readRequest();
        });
  }

private:
  void write() {
    auto self = shared_from_this();
    asio::async_write(
        Socket, asio::buffer(Out),
        [self](const boost::system::error_code &ec, std::size_t n) {
          self->Server.BytesWritten += static_cast<std::int64_t>(n);
          if (ec)
            return;
          self->Out = self->Block;
          if (self->End != ReplyEnd::KeepOpen)
            self->end();
          else if (self->Out.empty())
            self->readRequest();
          else
            self->write();
        });
  }

  void end() {
    boost::system::error_code ignored; // The socket is discarded in any case.
    if (End == ReplyEnd::Reset)
      Socket.set_option(asio::socket_base::linger(true, 0), ignored);
    Socket.close(ignored);
  }

  ScriptedServer &Server;
  asio::ip::tcp::socket Socket;
  std::string Buffer;
  std::string ReadBuffer;
  std::optional<HttpReader> Reader;
  std::string Out;
  std::string Block;
  ReplyEnd End = ReplyEnd::KeepOpen;
  int Requests = 0;
};

bool ScriptedServer::listen(const std::string &address) {
  auto endpoint = parseEndpoint(address);
  boost::system::error_code ec;
  Acceptor.open(endpoint->protocol(), ec);
  if (!ec)
    Acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    Acceptor.bind(*endpoint, ec);
  if (!ec)
    Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return false;
  acceptNext();
  return true;
}

void ScriptedServer::acceptNext() {
  Acceptor.async_accept([this](const boost::system::error_code &ec,
                               asio::ip::tcp::socket socket) {
    if (ec)
      return;
    ++Connections;
    std::make_shared<Session>(*this, std::move(socket))->readRequest();
    acceptNext();
  });
}

} // namespace savorylb::standin
