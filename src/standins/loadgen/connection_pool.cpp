#include "connection_pool.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <exception>

using namespace Poco::Net;

namespace savorylb::standin {

namespace {

constexpr std::chrono::microseconds ConnectTimeout = std::chrono::seconds(1);

// \returns false when the connection failed within the body.
bool readResponseBody(std::istream &in, std::string &body) {
  char buf[16384];
  try {
    while (in.read(buf, sizeof buf), in.gcount() > 0)
      body.append(buf, static_cast<std::size_t>(in.gcount()));
  } catch (const std::exception &) {
    return false;
  }
  return !in.bad();
}

} // namespace

ConnectionPool::Session ConnectionPool::takeIdle(const std::string &address) {
  std::lock_guard<std::mutex> guard(Lock);
  auto &idle = Idle[address];
  while (!idle.empty()) {
    Session it = std::move(idle.back());
    idle.pop_back();
    // An idle connection is readable only after the peer has closed it.
    if (!it->socket().poll(Poco::Timespan(0), Socket::SELECT_READ))
      return it;
  }
  return nullptr;
}

ConnectionPool::Session
ConnectionPool::connect(const std::string &address,
                        std::chrono::microseconds timeout) {
  StreamSocket socket;
  socket.connect(SocketAddress(address),
                 Poco::Timespan(std::min(timeout, ConnectTimeout).count()));
  socket.setNoDelay(true);
  auto it = std::make_unique<HTTPClientSession>(socket);
  it->setKeepAlive(true);
  return it;
}

void ConnectionPool::release(const std::string &address, Session it) {
  std::lock_guard<std::mutex> guard(Lock);
  Idle[address].push_back(std::move(it));
}

Attempt ConnectionPool::exchange(const std::string &address, HTTPRequest &req,
                                 const std::string &body,
                                 std::chrono::microseconds timeout) {
  Attempt out;
  Session session;
  try {
    session = takeIdle(address);
    if (!session)
      session = connect(address, timeout);
  } catch (const Poco::Exception &e) {
    out.Failure = e.name();
    return out;
  }
  out.Reached = Attempt::Progress::NoResponse;
  try {
    session->socket().setSendTimeout(Poco::Timespan(timeout.count()));
    session->socket().setReceiveTimeout(Poco::Timespan(timeout.count()));
    req.setHost(address);
    auto &to = session->sendRequest(req);
    to.write(body.data(), static_cast<std::streamsize>(body.size()));
    to.flush();
    HTTPResponse resp;
    auto &from = session->receiveResponse(resp);
    out.Reached = Attempt::Progress::ResponseReceived;
    out.Status = resp.getStatus();
    out.Outcome = resp.get("X-Outcome", "");
    out.Reason = resp.get("X-Reason", "");
    out.ServedBy = resp.get("X-Served-By", "");
    out.Truncated = !readResponseBody(from, out.Body);
    if (resp.hasContentLength() && req.getMethod() != "HEAD")
      out.Truncated =
          out.Truncated || static_cast<Poco::Int64>(out.Body.size()) !=
                               resp.getContentLength64();
    if (!out.Truncated && resp.getKeepAlive())
      release(address, std::move(session));
  } catch (const Poco::TimeoutException &) {
    out.Failure = "timeout";
  } catch (const Poco::Exception &e) {
    out.Failure = e.name();
  } catch (const std::exception &e) {
    out.Failure = e.what();
  }
  return out;
}

} // namespace savorylb::standin
