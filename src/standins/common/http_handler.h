#ifndef SAVORYLB_STANDINS_HTTP_HANDLER_H
#define SAVORYLB_STANDINS_HTTP_HANDLER_H

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <string>

namespace savorylb::standin {

/// Handles one request and sends the response.
using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest &,
                                       Poco::Net::HTTPServerResponse &)>;

/// Starts an HTTP server. When the handler throws a Poco::Net::NetException, or
/// any Poco exception after it began to send, the connection is closed. Other
/// Poco exceptions lead to status 400 with the text of the exception.
/// \param host address to listen on.
/// \param pool provides one thread for each open connection.
/// \param handler called for each request, on any thread of the pool.
/// \param filter called for each accepted connection; may be null.
/// \returns the running server.
std::unique_ptr<Poco::Net::HTTPServer>
startHttpServer(const std::string &host, int port, Poco::ThreadPool &pool,
                HttpHandler handler,
                Poco::Net::TCPServerConnectionFilter::Ptr filter = nullptr);

/// Blocks SIGINT and SIGTERM for the calling thread and the threads that it
/// starts, and ignores SIGPIPE. Must be called before the first thread starts.
void blockStopSignals();

/// Waits for SIGINT or SIGTERM, which must be blocked.
void waitForStopSignal();

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_HTTP_HANDLER_H
