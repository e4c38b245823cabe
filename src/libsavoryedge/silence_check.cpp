#include "silence_check.h"

#include "limited_socket.h"
#include "savorylb/clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>

namespace savorylb {

bool remainsSuspectAfterProbe(ConnectionPool &pool, const std::string &address,
                              MonoTime openedAt) {
  using namespace Poco::Net;
  MonoTime start = monoNow();
  IdleConnection connection = takeOldestIdle(pool, address);
  if (!connection.Session)
    return true;
  if (connection.OpenedAt > openedAt) {
    returnConnection(pool, address, std::move(connection), start);
    return true;
  }
  try {
    HTTPClientSession &session = *connection.Session;
    session.socket().setReceiveTimeout(
        Poco::Timespan(IdleProbeTimeout.count()));
    setReadDeadline(session.socket(), start + IdleProbeTimeout);
    HTTPRequest request(HTTPRequest::HTTP_GET, "/health",
                        HTTPRequest::HTTP_1_1);
    request.setHost(address);
    request.setKeepAlive(true);
    expectHead(session.socket());
    session.sendRequest(request);
    HTTPResponse response;
    std::istream &body = session.receiveResponse(response);
    Poco::NullOutputStream sink;
    Poco::StreamCopier::copyStream(body, sink);
    if (response.getKeepAlive() && session.connected())
      returnConnection(pool, address, std::move(connection), monoNow());
    return false;
  } catch (const Poco::TimeoutException &) {
    markUnresponsive(pool, address, start);
  } catch (const std::exception &) {
    // That one connection was closed says nothing about the others.
  }
  return true;
}

} // namespace savorylb
