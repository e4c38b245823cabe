#ifndef SAVORYLB_SAVORYLBD_CALLER_CONNECTION_H
#define SAVORYLB_SAVORYLBD_CALLER_CONNECTION_H

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <atomic>

namespace savorylb {

/// State that the open connections of callers share with the drain.
struct CallerConnections {
  std::atomic<int> Open{0};
  /// Event file descriptor; readable from the time at which idle connections
  /// are to be closed.
  int CloseEventFd;

  CallerConnections();
  ~CallerConnections();
  CallerConnections(const CallerConnections &) = delete;
  CallerConnections &operator=(const CallerConnections &) = delete;
};

/// \param shared outlives the server.
/// \param params the limits of the connections.
/// \param handlers creates the handler of each request.
/// \returns a factory of connections that a drain closes only between two
/// requests.
Poco::Net::TCPServerConnectionFactory::Ptr
makeCallerConnections(CallerConnections &shared,
                      Poco::Net::HTTPServerParams::Ptr params,
                      Poco::Net::HTTPRequestHandlerFactory::Ptr handlers);

/// Closes the connections on which no request has arrived; the others are
/// closed after the response in progress.
void closeIdleConnections(CallerConnections &shared);

/// Stops listening without resetting an established connection.
/// \param server the server of the caller interface.
/// \returns false when established connections were still waiting to be served.
bool stopListening(Poco::Net::TCPServer &server);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_CALLER_CONNECTION_H
