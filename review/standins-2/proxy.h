#ifndef REVIEW_PROXY_H
#define REVIEW_PROXY_H

#include <array>
#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;

/// A proxy between the machines and the store. Its open connections can go
/// silent for good, while new ones work.
class Proxy {
public:
  Proxy(asio::io_context &io, std::string target)
      : Io(io), Target(std::move(target)), Acceptor(io) {}

  bool listen(const std::string &address);
  /// From now on nothing passes on the connections that are open now.
  /// \returns their number.
  std::size_t silence();

private:
  struct Link {
    explicit Link(asio::io_context &io) : Client(io), Server(io) {}
    asio::ip::tcp::socket Client;
    asio::ip::tcp::socket Server;
    std::array<char, 16'384> FromClient{};
    std::array<char, 16'384> FromServer{};
    bool Silent = false;
    bool Ended = false;
  };

  void accept();
  static void pass(const std::shared_ptr<Link> &link, bool fromClient);
  static void end(Link &link);

  asio::io_context &Io;
  std::string Target;
  asio::ip::tcp::acceptor Acceptor;
  std::vector<std::shared_ptr<Link>> Links;
};

} // namespace review

#endif // REVIEW_PROXY_H
