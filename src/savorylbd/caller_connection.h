#ifndef SAVORYLB_SAVORYLBD_CALLER_CONNECTION_H
#define SAVORYLB_SAVORYLBD_CALLER_CONNECTION_H

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <atomic>

namespace savorylb {

/// What the open connections of callers share with the planned stop.
struct CallerConnections {
  std::atomic<int> Open{0};
  /// Becomes readable when idle connections are to be closed, and stays so.
  int CloseSignal;

  CallerConnections();
  ~CallerConnections();
  CallerConnections(const CallerConnections &) = delete;
  CallerConnections &operator=(const CallerConnections &) = delete;
};

/// \param shared outlives the server.
/// \param params the limits of connections.
/// \param handlers make the handler of each request.
/// \returns a factory of connections that end between two requests only.
Poco::Net::TCPServerConnectionFactory::Ptr
makeCallerConnections(CallerConnections &shared,
                      Poco::Net::HTTPServerParams::Ptr params,
                      Poco::Net::HTTPRequestHandlerFactory::Ptr handlers);

/// Ends the connections on which no request has arrived; the others end after
/// the response in progress.
void closeIdleConnections(CallerConnections &shared);

/// Stops listening without resetting a connection that was established.
/// \param server the server of the callers.
/// \returns whether no established connection was left waiting.
bool stopListening(Poco::Net::TCPServer &server);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_CALLER_CONNECTION_H
