#include "http_function.h"

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

// A fleet opens its watches at the same moment.
constexpr int Backlog = 2048;

class FunctionHandler : public HTTPRequestHandler {
public:
  explicit FunctionHandler(const HttpFunction &fn) : Fn(fn) {}

  void handleRequest(HTTPServerRequest &req,
                     HTTPServerResponse &resp) override {
    try {
      Fn(req, resp);
    } catch (const NetException &) {
      // The peer is gone or the answer cannot be sent.
      dropConnection(req, resp);
    } catch (const Poco::Exception &e) {
      if (resp.sent())
        dropConnection(req, resp);
      else
        sendText(resp, 400, "text/plain", e.displayText() + "\n");
    }
  }

private:
  const HttpFunction &Fn;
};

class FunctionFactory : public HTTPRequestHandlerFactory {
public:
  explicit FunctionFactory(HttpFunction fn) : Fn(std::move(fn)) {}

  HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override {
    return new FunctionHandler(Fn);
  }

private:
  HttpFunction Fn;
};

} // namespace

std::unique_ptr<HTTPServer>
startHttpServer(const std::string &host, int port, Poco::ThreadPool &pool,
                HttpFunction fn, TCPServerConnectionFilter::Ptr filter) {
  HTTPServerParams::Ptr params = new HTTPServerParams;
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(300, 0));
  params->setTimeout(Poco::Timespan(60, 0));
  params->setMaxKeepAliveRequests(0);
  params->setMaxQueued(4096);
  params->setMaxThreads(pool.capacity());
  ServerSocket socket;
  socket.bind(SocketAddress(host, static_cast<Poco::UInt16>(port)), true);
  socket.listen(Backlog);
  auto server = std::make_unique<HTTPServer>(new FunctionFactory(std::move(fn)),
                                             pool, socket, params);
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

void waitForStop() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGTERM);
  int got = 0;
  sigwait(&set, &got);
}

} // namespace savorylb::standin
