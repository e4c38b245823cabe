#include "http_handler.h"

#include "http_io.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>

#include <csignal>

using namespace Poco::Net;

namespace savorylb::standin {

namespace {

// All daemons of a fleet open their watches at the same time.
constexpr int ListenBacklog = 2048;

class CallbackRequestHandler : public HTTPRequestHandler {
public:
  explicit CallbackRequestHandler(const HttpHandler &handler)
      : Handler(handler) {}

  void handleRequest(HTTPServerRequest &req,
                     HTTPServerResponse &resp) override {
    try {
      Handler(req, resp);
    } catch (const NetException &) {
      // The peer closed the connection or the response cannot be sent.
      dropConnection(req, resp);
    } catch (const Poco::Exception &e) {
      if (resp.sent())
        dropConnection(req, resp);
      else
        sendText(resp, 400, "text/plain", e.displayText() + "\n");
    }
  }

private:
  const HttpHandler &Handler;
};

class CallbackHandlerFactory : public HTTPRequestHandlerFactory {
public:
  explicit CallbackHandlerFactory(HttpHandler handler)
      : Handler(std::move(handler)) {}

  HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override {
    return new CallbackRequestHandler(Handler);
  }

private:
  HttpHandler Handler;
};

} // namespace

std::unique_ptr<HTTPServer>
startHttpServer(const std::string &host, int port, Poco::ThreadPool &pool,
                HttpHandler handler, TCPServerConnectionFilter::Ptr filter) {
  HTTPServerParams::Ptr params = new HTTPServerParams;
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(300, 0));
  params->setTimeout(Poco::Timespan(60, 0));
  params->setMaxKeepAliveRequests(0);
  params->setMaxQueued(4096);
  params->setMaxThreads(pool.capacity());
  ServerSocket socket;
  socket.bind(SocketAddress(host, static_cast<Poco::UInt16>(port)), true);
  socket.listen(ListenBacklog);
  auto server = std::make_unique<HTTPServer>(
      new CallbackHandlerFactory(std::move(handler)), pool, socket, params);
  if (filter)
    server->setConnectionFilter(filter);
  server->start();
  return server;
}

void blockStopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGTERM);
  int got = 0;
  sigwait(&set, &got);
}

} // namespace savorylb::standin
