#include "proxy.h"

#include "http_connection.h"

namespace review {

bool Proxy::listen(const std::string &address) {
  auto endpoint = savorylb::parseEndpoint(address);
  boost::system::error_code ec;
  Acceptor.open(endpoint->protocol(), ec);
  if (!ec)
    Acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    Acceptor.bind(*endpoint, ec);
  if (!ec)
    Acceptor.listen(128, ec);
  if (ec)
    return false;
  accept();
  return true;
}

std::size_t Proxy::silence() {
  std::size_t n = 0;
  for (const auto &it : Links)
    if (!it->Silent && !it->Ended) {
      it->Silent = true;
      ++n;
    }
  return n;
}

void Proxy::accept() {
  auto link = std::make_shared<Link>(Io);
  Acceptor.async_accept(
      link->Client, [this, link](const boost::system::error_code &ec) {
        if (!ec) {
          boost::system::error_code failed;
          link->Server.connect(*savorylb::parseEndpoint(Target), failed);
          if (!failed) {
            link->Client.set_option(asio::ip::tcp::no_delay(true), failed);
            link->Server.set_option(asio::ip::tcp::no_delay(true), failed);
            Links.push_back(link);
            pass(link, true);
            pass(link, false);
          }
        }
        if (Acceptor.is_open())
          accept();
      });
}

void Proxy::pass(const std::shared_ptr<Link> &link, bool fromClient) {
  auto &from = fromClient ? link->Client : link->Server;
  auto &to = fromClient ? link->Server : link->Client;
  auto &buffer = fromClient ? link->FromClient : link->FromServer;
  from.async_read_some(
      asio::buffer(buffer),
      [link, fromClient, &to, &buffer](const boost::system::error_code &ec,
                                       std::size_t n) {
        // What arrives on a silent connection is lost, its end too.
        if (link->Silent) {
          if (!ec)
            pass(link, fromClient);
          return;
        }
        if (ec) {
          end(*link);
          return;
        }
        asio::async_write(
            to, asio::buffer(buffer.data(), n),
            [link, fromClient](const boost::system::error_code &failed,
                               std::size_t) {
              if (failed)
                end(*link);
              else
                pass(link, fromClient);
            });
      });
}

void Proxy::end(Link &link) {
  link.Ended = true;
  boost::system::error_code ignored;
  link.Client.close(ignored);
  link.Server.close(ignored);
}

} // namespace review
