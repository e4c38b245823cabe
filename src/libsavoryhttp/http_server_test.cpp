#include "http_fixture.h"

#include "savorylb/metrics.h"

#include <thread>

using namespace savorylb;
using namespace savorylb::test;

TEST_GROUP(HttpServer){};

// Guards against a log that cannot tell a connection closed by the VM from a
// caller that left.
TEST(HttpServer, AbortedRequestIsReportedAsClosedByClient) {
  EchoServer fixture;
  bool closedByServer = false;
  std::shared_ptr<ServedRequest> kept;
  HttpServer server(
      fixture.Io,
      [&](const std::shared_ptr<ServedRequest> &request) {
        kept = request;
        request->OnClose = [&] { closedByServer = kept->ClosedByServer; };
        asio::post(fixture.Io, [&] { kept->Abort(); });
      },
      rejection);
  std::string address = nextAddress();
  CHECK_TRUE(server.listen(address));
  BlockingClient client(address);
  client.sendRequest("/");
  fixture.run(Millis(30));
  CHECK_TRUE(closedByServer);
}

// Guards against closing a kept connection whose request has been forwarded,
// when the idle timer expired while the process did not run.
TEST(HttpServer, IdleTimeoutClosesConnectionOfForwardedRequest) {
  EchoServer fixture;
  SessionLimits limits;
  limits.IdleTimeout = Millis(60);
  fixture.Server.setLimits(limits);
  BlockingClient client(fixture.Address);
  client.sendRequest("/first");
  fixture.run(Millis(30));
  CHECK_FALSE(client.receive().empty());
  client.sendRequest("/second");
  std::this_thread::sleep_for(std::chrono::milliseconds(80));
  fixture.run(Millis(30));
  LONGS_EQUAL(2, fixture.Forwarded);
  CHECK_FALSE(client.receive().empty());
}

TEST_GROUP(HttpConnection){};

// Guards against an exchange without an outcome, when the connection was
// established and its time limit expired while the process did not run.
TEST(HttpConnection, ConnectTimeoutClosesEstablishedConnectionSilently) {
  EchoServer fixture;
  auto connection =
      std::make_shared<HttpConnection>(fixture.Io.get_executor(), 1 << 20);
  int ended = 0;
  connection->connect(fixture.Address, Millis(40), [&](bool connected) {
    if (!connected) {
      ++ended;
      return;
    }
    Exchange exchange;
    exchange.Head =
        std::make_shared<std::string>("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    exchange.Body = std::make_shared<std::string>();
    exchange.Timeout = Millis(200);
    exchange.Done = [&](ExchangeOutcome, HttpMessage &) { ++ended; };
    connection->start(std::move(exchange));
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  fixture.run(Millis(300));
  LONGS_EQUAL(1, ended);
}

// Guards against keeping the request and the body of a caller that left.
TEST(HttpServer, RequestOfDisconnectedCallerIsNeverReleased) {
  EchoServer fixture;
  std::weak_ptr<ServedRequest> seen;
  bool closedByServer = true;
  HttpServer server(
      fixture.Io,
      [&](const std::shared_ptr<ServedRequest> &request) {
        seen = request;
        request->OnClose = [&closedByServer, request] {
          closedByServer = request->ClosedByServer;
        };
      },
      rejection);
  std::string address = nextAddress();
  CHECK_TRUE(server.listen(address));
  {
    BlockingClient client(address);
    client.sendRequest("/");
    fixture.run(Millis(30));
    CHECK_FALSE(seen.expired());
  }
  fixture.run(Millis(30));
  LONGS_EQUAL(0, server.connections());
  CHECK_FALSE(closedByServer);
  CHECK_TRUE(seen.expired());
}

// Guards against 413 or 431 for a request that a new configuration allows.
TEST(HttpServer, KeptConnectionHasTheSizeLimitsOfItsPreviousRequest) {
  EchoServer fixture;
  SessionLimits limits;
  limits.MaxBodyBytes = 10;
  fixture.Server.setLimits(limits);
  BlockingClient client(fixture.Address);
  client.sendRequest("/first");
  fixture.run(Millis(30));
  CHECK_FALSE(client.receive().empty());
  limits.MaxBodyBytes = 1000;
  fixture.Server.setLimits(limits);
  std::string upload = "POST /second HTTP/1.1\r\nHost: a\r\n"
                       "Content-Length: 100\r\n\r\n" +
                       std::string(100, 'b');
  asio::write(client.Socket, asio::buffer(upload));
  fixture.run(Millis(30));
  LONGS_EQUAL(2, fixture.Forwarded);
}

// Guards against closing an idle connection before the idle timeout that is in
// force.
TEST(HttpServer, IdleConnectionHasTheTimeoutOfItsPreviousRequest) {
  EchoServer fixture;
  SessionLimits limits;
  limits.IdleTimeout = Millis(60);
  fixture.Server.setLimits(limits);
  BlockingClient client(fixture.Address);
  client.sendRequest("/first");
  fixture.run(Millis(20));
  CHECK_FALSE(client.receive().empty());
  limits.IdleTimeout = Millis(300);
  fixture.Server.setLimits(limits);
  fixture.run(Millis(150));
  LONGS_EQUAL(1, fixture.Server.connections());
  fixture.run(Millis(300));
  LONGS_EQUAL(0, fixture.Server.connections());
}

// Guards against a second rejection on a connection that is already shut down.
TEST(HttpServer, HeaderTimeoutIsRejectedTwice) {
  EchoServer fixture;
  int rejections = 0;
  HttpServer server(
      fixture.Io, [](const std::shared_ptr<ServedRequest> &) {},
      [&](int status, const char *reason) {
        ++rejections;
        return rejection(status, reason);
      });
  SessionLimits limits;
  limits.HeaderTimeout = Millis(50);
  server.setLimits(limits);
  std::string address = nextAddress();
  CHECK_TRUE(server.listen(address));
  BlockingClient client(address);
  asio::write(client.Socket, asio::buffer(std::string("GET / HT")));
  fixture.run(Millis(900));
  LONGS_EQUAL(1, rejections);
  LONGS_EQUAL(0, server.connections());
}

// Guards against cutting a response that its client reads slowly.
TEST(HttpServer, WriteTimeoutCutsResponseThatMakesProgress) {
  EchoServer fixture;
  std::size_t size = 24 << 20;
  HttpServer server(
      fixture.Io,
      [&](const std::shared_ptr<ServedRequest> &request) {
        request->Respond(jsonResponse(200, std::string(size, '.')));
      },
      rejection);
  SessionLimits limits;
  limits.WriteTimeout = Millis(200);
  server.setLimits(limits);
  std::string address = nextAddress();
  CHECK_TRUE(server.listen(address));
  BlockingClient client(address);
  client.sendRequest("/");
  std::vector<char> buf(1 << 20);
  std::size_t received = 0;
  boost::system::error_code ec;
  client.Socket.non_blocking(true);
  for (int i = 0; i < 60 && received <= size; ++i) {
    fixture.run(Millis(20));
    received += client.Socket.read_some(asio::buffer(buf), ec);
  }
  CHECK_TRUE(received > size);
}

// Guards against a response that could not be written and is not counted.
TEST(HttpServer, WriteTimeoutIsNotCounted) {
  EchoServer fixture;
  HttpServer server(
      fixture.Io,
      [](const std::shared_ptr<ServedRequest> &request) {
        request->Respond(jsonResponse(200, std::string(24 << 20, '.')));
      },
      rejection);
  SessionLimits limits;
  limits.WriteTimeout = Millis(100);
  server.setLimits(limits);
  std::string address = nextAddress();
  CHECK_TRUE(server.listen(address));
  std::string before = renderMetrics();
  BlockingClient client(address);
  client.sendRequest("/");
  fixture.run(Millis(400));
  LONGS_EQUAL(0, server.connections());
  CHECK_TRUE(before != renderMetrics());
  CHECK_TRUE(renderMetrics().find("responses_not_sent") != std::string::npos);
}
