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

constexpr std::chrono::microseconds ConnectLimit = std::chrono::seconds(1);

// Reads the body. \returns false when the connection broke in it.
bool readAnswer(std::istream &in, std::string &body) {
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

ConnectionPool::Session ConnectionPool::take(const std::string &address) {
  std::lock_guard<std::mutex> guard(Lock);
  auto &idle = Idle[address];
  while (!idle.empty()) {
    Session it = std::move(idle.back());
    idle.pop_back();
    // An idle connection is readable only when the peer has closed it.
    if (!it->socket().poll(Poco::Timespan(0), Socket::SELECT_READ))
      return it;
  }
  return nullptr;
}

ConnectionPool::Session
ConnectionPool::connect(const std::string &address,
                        std::chrono::microseconds limit) {
  StreamSocket socket;
  socket.connect(SocketAddress(address),
                 Poco::Timespan(std::min(limit, ConnectLimit).count()));
  socket.setNoDelay(true);
  auto it = std::make_unique<HTTPClientSession>(socket);
  it->setKeepAlive(true);
  return it;
}

void ConnectionPool::giveBack(const std::string &address, Session it) {
  std::lock_guard<std::mutex> guard(Lock);
  Idle[address].push_back(std::move(it));
}

Attempt ConnectionPool::exchange(const std::string &address, HTTPRequest &req,
                                 const std::string &body,
                                 std::chrono::microseconds limit) {
  Attempt out;
  Session session;
  try {
    session = take(address);
    if (!session)
      session = connect(address, limit);
  } catch (const Poco::Exception &e) {
    out.Failure = e.name();
    return out;
  }
  out.End = Attempt::Kind::NoAnswer;
  try {
    session->socket().setSendTimeout(Poco::Timespan(limit.count()));
    session->socket().setReceiveTimeout(Poco::Timespan(limit.count()));
    req.setHost(address);
    auto &to = session->sendRequest(req);
    to.write(body.data(), static_cast<std::streamsize>(body.size()));
    to.flush();
    HTTPResponse resp;
    auto &from = session->receiveResponse(resp);
    out.End = Attempt::Kind::Answered;
    out.Status = resp.getStatus();
    out.Outcome = resp.get("X-Outcome", "");
    out.Reason = resp.get("X-Reason", "");
    out.ServedBy = resp.get("X-Served-By", "");
    out.Cut = !readAnswer(from, out.Body);
    if (resp.hasContentLength() && req.getMethod() != "HEAD")
      out.Cut = out.Cut || static_cast<Poco::Int64>(out.Body.size()) !=
                               resp.getContentLength64();
    if (!out.Cut && resp.getKeepAlive())
      giveBack(address, std::move(session));
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
