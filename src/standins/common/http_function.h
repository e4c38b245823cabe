#ifndef SAVORYLB_STANDINS_HTTP_FUNCTION_H
#define SAVORYLB_STANDINS_HTTP_FUNCTION_H

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <string>

namespace savorylb::standin {

/// Answers one request.
using HttpFunction = std::function<void(Poco::Net::HTTPServerRequest &,
                                        Poco::Net::HTTPServerResponse &)>;

/// Starts an HTTP server that calls a function for each request. A Poco
/// exception in the function is answered with 400 and its text.
/// \param host address to listen on.
/// \param port port to listen on.
/// \param pool threads, one for each open connection.
/// \param fn called for each request, on any thread of the pool.
/// \param filter called for each accepted connection; may be null.
/// \returns the running server.
std::unique_ptr<Poco::Net::HTTPServer>
startHttpServer(const std::string &host, int port, Poco::ThreadPool &pool,
                HttpFunction fn,
                Poco::Net::TCPServerConnectionFilter::Ptr filter = nullptr);

/// Blocks SIGINT and SIGTERM for the calling thread and the threads that it
/// starts, and ignores SIGPIPE. Call it before the first thread starts.
void blockStopSignals();

/// Waits for SIGINT or SIGTERM.
void waitForStop();

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_HTTP_FUNCTION_H
