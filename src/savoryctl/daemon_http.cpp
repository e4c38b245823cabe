#include "daemon_http.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <memory>

namespace savorylb {

namespace {

// Sends the request over a connection that was just opened, so that a failure
// to connect can be distinguished from a lost response.
Result<std::string> exchange(Poco::Net::HTTPClientSession &session,
                             const std::string &method,
                             const std::string &path) {
  Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
  // A connected session does not accept setHost(), so the host is set on the
  // request.
  request.setHost(session.socket().peerAddress().toString());
  request.setKeepAlive(false);
  if (method == "POST")
    request.setContentLength(0);
  session.sendRequest(request);
  Poco::Net::HTTPResponse response;
  std::string body;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
  int status = response.getStatus();
  if (status >= 200 && status < 300)
    return body;
  return failure(ErrorCode::Refused, "status " + std::to_string(status));
}

} // namespace

Result<std::string> callDaemon(const std::string &method,
                               const std::string &endpoint,
                               const std::string &path, Duration timeout) {
  bool connected = false;
  try {
    Poco::Timespan limit(timeout.count());
    Poco::Net::SocketAddress address(endpoint);
    Poco::Net::StreamSocket socket;
    socket.connect(address, limit);
    connected = true;
    Poco::Net::HTTPClientSession session(socket);
    session.setTimeout(limit);
    return exchange(session, method, path);
  } catch (const Poco::TimeoutException &) {
    return failure(connected ? ErrorCode::Timeout : ErrorCode::Unavailable,
                   endpoint + ": timed out without a response");
  } catch (const Poco::Exception &ex) {
    return failure(connected ? ErrorCode::Unknown : ErrorCode::Unavailable,
                   endpoint + ": " + ex.displayText());
  }
}

} // namespace savorylb
