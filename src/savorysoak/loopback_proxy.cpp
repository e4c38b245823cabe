#include "loopback_proxy.h"

#include "http_connection.h"

namespace savorylb::soak {
namespace {

constexpr std::size_t ChunkBytes = 16'384;

using Socket = asio::ip::tcp::socket;

void resetSocket(Socket &socket) {
  boost::system::error_code ignored; // The connection is discarded.
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

} // namespace

struct LoopbackProxy::Relay : std::enable_shared_from_this<Relay> {
  Relay(LoopbackProxy &proxy, Socket client)
      : Proxy(proxy), Client(std::move(client)), Server(proxy.Io) {}

  void start() {
    auto self = shared_from_this();
    auto endpoint = parseEndpoint(Proxy.Server);
    Server.async_connect(*endpoint,
                         [self](const boost::system::error_code &ec) {
                           if (ec) {
                             resetSocket(self->Client);
                             return;
                           }
                           self->pump(self->Client, self->Server, true);
                           self->pump(self->Server, self->Client, false);
                         });
  }

  void pump(Socket &from, Socket &to, bool toServer) {
    auto self = shared_from_this();
    auto chunk = std::make_shared<std::string>(ChunkBytes, 0);
    from.async_read_some(
        asio::buffer(*chunk),
        [self, &from, &to, toServer, chunk](const boost::system::error_code &ec,
                                            std::size_t n) {
          if (self->Stalled)
            return; // Both ends stay open and receive nothing.
          if (ec) {
            self->end(to, ec);
            return;
          }
          chunk->resize(n);
          self->forward(from, to, toServer, chunk);
        });
  }

  void end(Socket &to, const boost::system::error_code &ec) {
    if (ec != asio::error::eof) {
      resetSocket(to);
      return;
    }
    boost::system::error_code ignored; // The peer may have closed already.
    to.shutdown(Socket::shutdown_send, ignored);
  }

  void forward(Socket &from, Socket &to, bool toServer,
               const std::shared_ptr<std::string> &chunk) {
    const ProxyFaults &faults = Proxy.Faults;
    if (toServer ? faults.DropToServer : faults.DropToClient) {
      Stalled = true; // Bytes after a gap cannot be delivered.
      return;
    }
    auto self = shared_from_this();
    auto timer = std::make_shared<asio::steady_timer>(Proxy.Io, faults.Delay);
    timer->async_wait([self, &from, &to, toServer, chunk,
                       timer](const boost::system::error_code &) {
      asio::async_write(to, asio::buffer(*chunk),
                        [self, &from, &to, toServer, chunk](
                            const boost::system::error_code &ec, std::size_t) {
                          if (ec)
                            resetSocket(from);
                          else
                            self->pump(from, to, toServer);
                        });
    });
  }

  LoopbackProxy &Proxy;
  Socket Client;
  Socket Server;
  bool Stalled = false;
};

LoopbackProxy::LoopbackProxy(asio::io_context &io, std::string server)
    : Io(io), Acceptor(io), Server(std::move(server)) {}

bool LoopbackProxy::listen(const std::string &address) {
  auto endpoint = parseEndpoint(address);
  boost::system::error_code ec;
  Acceptor.open(endpoint->protocol(), ec);
  if (!ec)
    Acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    Acceptor.bind(*endpoint, ec);
  if (!ec)
    Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (!ec)
    acceptNext();
  return !ec;
}

void LoopbackProxy::acceptNext() {
  Acceptor.async_accept(
      [this](const boost::system::error_code &ec, Socket client) {
        if (ec)
          return;
        auto relay = std::make_shared<Relay>(*this, std::move(client));
        Relays.remove_if([](const auto &it) { return it.expired(); });
        Relays.push_back(relay);
        relay->start();
        acceptNext();
      });
}

void LoopbackProxy::resetAll() {
  for (const auto &it : Relays)
    if (auto relay = it.lock()) {
      resetSocket(relay->Client);
      resetSocket(relay->Server);
    }
}

void LoopbackProxy::stallAll() {
  for (const auto &it : Relays)
    if (auto relay = it.lock())
      relay->Stalled = true;
}

} // namespace savorylb::soak
