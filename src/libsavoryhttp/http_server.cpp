#include "http_server.h"

#include "http_connection.h"
#include "http_session.h"

namespace savorylb {
namespace {

/// Delay after a failed accept call, until file descriptors become available.
constexpr Duration AcceptRetryDelay = Millis(50);

} // namespace

HttpServer::HttpServer(asio::io_context &io, Handler handler,
                       RejectionHandler rejection)
    : Io(io), Acceptor(io), AcceptRetryTimer(io), Handle(std::move(handler)),
      Reject(std::move(rejection)) {}

bool HttpServer::listen(const std::string &address) {
  auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return false;
  boost::system::error_code ec;
  Acceptor.open(endpoint->protocol(), ec);
  if (!ec)
    Acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    Acceptor.bind(*endpoint, ec);
  if (!ec)
    Acceptor.listen(1024, ec);
  if (ec)
    return false;
  acceptNext();
  return true;
}

void HttpServer::acceptNext() {
  Acceptor.async_accept([this](const boost::system::error_code &ec,
                               asio::ip::tcp::socket socket) {
    if (!Acceptor.is_open())
      return;
    if (ec) {
      AcceptRetryTimer.expires_after(AcceptRetryDelay);
      AcceptRetryTimer.async_wait(
          [this](const boost::system::error_code &wait) {
            if (!wait)
              acceptNext();
          });
      return;
    }
    startSession(std::move(socket));
    acceptNext();
  });
}

void HttpServer::startSession(asio::ip::tcp::socket socket) {
  auto session = std::make_shared<Session>(*this, std::move(socket));
  Sessions.insert(session);
  session->start();
}

std::vector<std::shared_ptr<HttpServer::Session>> HttpServer::sessions() const {
  return {Sessions.begin(), Sessions.end()};
}

void HttpServer::startDrain() {
  Draining = true;
  for (const auto &it : sessions())
    it->advance();
}

void HttpServer::releaseResponses() {
  if (ReleasingResponses)
    return;
  ReleasingResponses = true;
  for (const auto &it : sessions())
    it->releaseResponses();
}

void HttpServer::breakOffRequests() {
  for (const auto &it : sessions())
    it->breakOffRequests();
}

void HttpServer::stopAccepting() {
  if (!Acceptor.is_open())
    return;
  // Closing the socket would reset the connections in its backlog.
  boost::system::error_code ec;
  Acceptor.non_blocking(true, ec);
  while (!ec) {
    asio::ip::tcp::socket socket(Io);
    Acceptor.accept(socket, ec);
    if (!ec)
      startSession(std::move(socket));
  }
  Acceptor.close(ec);
}

void HttpServer::closeIdle() {
  stopAccepting();
  for (const auto &it : sessions())
    if (it->idle())
      it->close(Session::ClosedBy::Server);
}

} // namespace savorylb
