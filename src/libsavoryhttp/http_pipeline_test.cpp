#include "http_fixture.h"

#include <map>
#include <thread>

using namespace savorylb;
using namespace savorylb::test;

namespace {

/// A server whose responses the test gives, and one client. GET requests may
/// be handled concurrently.
struct PipelineFixture {
  EchoServer Loop;
  std::map<std::string, std::shared_ptr<ServedRequest>> Requests;
  std::vector<std::string> Served;
  std::vector<std::string> Abandoned;
  std::string BrokenOff;
  HttpServer Server{Loop.Io, [this](const auto &it) { serve(it); }, rejection};
  std::unique_ptr<BlockingClient> Client;
  std::string Received;

  PipelineFixture() {
    Server.setConcurrencyRule(
        [](const HttpMessage &it) { return it.Method == "GET"; });
    std::string address = nextAddress();
    CHECK_TRUE(Server.listen(address));
    Client = std::make_unique<BlockingClient>(address);
  }

  void serve(const std::shared_ptr<ServedRequest> &request) {
    std::string path = request->Message.Path;
    Served.push_back(path);
    Requests[path] = request;
    request->OnClose = [this, path] { Abandoned.push_back(path); };
    std::weak_ptr<ServedRequest> weak = request;
    request->OnBreakOff = [this, path, weak] {
      BrokenOff += path;
      weak.lock()->Respond(jsonResponse(504, "re" + path));
    };
  }

  void run(Millis span = Millis(40)) { Loop.run(span); }

  void send(const std::string &text) {
    Client->send(text);
    run();
  }

  /// Sends requests in one write.
  void sendRequests(std::initializer_list<const char *> paths) {
    std::string text;
    for (const char *it : paths)
      text += requestText(it);
    send(text);
  }

  void respond(const std::string &path, std::size_t padding = 0) {
    auto request = Requests.at(path);
    request->OnClose = nullptr;
    request->Respond(
        jsonResponse(200, "re" + path + std::string(padding, '.')));
    run();
    Received += Client->receive();
  }

  /// \returns the paths of the responses in the order of their arrival.
  std::string responses() const {
    std::string paths;
    for (std::size_t at = Received.find("re/"); at != std::string::npos;
         at = Received.find("re/", at + 1))
      paths += Received.substr(at + 2, 2);
    return paths;
  }

  bool received(const std::string &text) const {
    return Received.find(text) != std::string::npos;
  }

  std::string served() const {
    std::string paths;
    for (const std::string &it : Served)
      paths += it;
    return paths;
  }
};

} // namespace

TEST_GROUP(HttpPipeline){};

// Guards against a slow request that delays those sent behind it, and against
// responses in another order than the requests.
TEST(HttpPipeline, SlowRequestDelaysLaterOnes) {
  PipelineFixture fixture;
  fixture.sendRequests({"/1", "/2", "/3"});
  STRCMP_EQUAL("/1/2/3", fixture.served().c_str());
  LONGS_EQUAL(3, fixture.Server.inFlight());
  fixture.respond("/3");
  fixture.respond("/2");
  STRCMP_EQUAL("", fixture.responses().c_str());
  LONGS_EQUAL(1, fixture.Server.inFlight());
  fixture.respond("/1");
  STRCMP_EQUAL("/1/2/3", fixture.responses().c_str());
  LONGS_EQUAL(0, fixture.Server.inFlight());
}

// Guards against running a request that cannot be sent again beside an earlier
// one, whose response may close the connection.
TEST(HttpPipeline, UnsafeRequestRunsBesideOthers) {
  PipelineFixture fixture;
  fixture.send(requestText("/1") + requestText("/2", "POST") +
               requestText("/3"));
  STRCMP_EQUAL("/1", fixture.served().c_str());
  fixture.respond("/1");
  STRCMP_EQUAL("/1/2", fixture.served().c_str());
  fixture.respond("/2");
  STRCMP_EQUAL("/1/2/3", fixture.served().c_str());
  fixture.respond("/3");
  STRCMP_EQUAL("/1/2/3", fixture.responses().c_str());
}

// Guards against requests that are taken from a draining connection until the
// end of the grace period, and against leaving without a response one that was
// passed on.
TEST(HttpPipeline, DrainTakesLaterRequests) {
  PipelineFixture fixture;
  fixture.sendRequests({"/1", "/2"});
  fixture.Server.startDrain();
  fixture.sendRequests({"/3"});
  STRCMP_EQUAL("/1/2", fixture.served().c_str());
  fixture.respond("/1");
  CHECK_FALSE(fixture.received("Connection: close"));
  fixture.sendRequests({"/4"});
  fixture.respond("/2");
  STRCMP_EQUAL("/1/2", fixture.responses().c_str());
  CHECK_TRUE(fixture.received("Connection: close"));
  // Both later requests are rejected, the second one as the last of all.
  std::size_t rejected = fixture.Received.find(StoppingReason);
  CHECK_TRUE(rejected > fixture.Received.find("re/2"));
  CHECK_TRUE(fixture.Received.find(StoppingReason, rejected + 1) >
             fixture.Received.find("Connection: close"));
  STRCMP_EQUAL("/1/2", fixture.served().c_str());
  fixture.run(Millis(700));
  LONGS_EQUAL(0, fixture.Server.connections());
  LONGS_EQUAL(0, fixture.Abandoned.size());
}

// Guards against running a request that waits behind others when a planned stop
// begins: the client sends it again to another VM.
TEST(HttpPipeline, DrainRunsRequestThatWaited) {
  PipelineFixture fixture;
  fixture.send(requestText("/1") + requestText("/2", "POST"));
  fixture.Server.startDrain();
  fixture.respond("/1");
  fixture.run(Millis(700));
  STRCMP_EQUAL("/1", fixture.served().c_str());
  CHECK_TRUE(fixture.received("Connection: close"));
  LONGS_EQUAL(0, fixture.Server.connections());
}

// Guards against dropping a request that begins to arrive during a drain on an
// idle connection, before idle connections are closed.
TEST(HttpPipeline, DrainDropsRequestOfIdleConnection) {
  PipelineFixture fixture;
  fixture.Server.startDrain();
  fixture.send("GET /1 HTTP/1.1\r\nHo");
  fixture.Server.closeIdle();
  fixture.send("st: a\r\n\r\n");
  STRCMP_EQUAL("/1", fixture.served().c_str());
  fixture.respond("/1");
  CHECK_TRUE(fixture.received("Connection: close"));
}

// Guards against resetting connections that clients have opened but the server
// has not accepted when it stops accepting.
TEST(HttpPipeline, StopResetsConnectionsInTheBacklog) {
  PipelineFixture fixture;
  fixture.Server.startDrain();
  std::string address = "127.0.90.1:" + std::to_string(NextPort - 1);
  BlockingClient late(address);
  late.send(requestText("/9"));
  fixture.Server.stopAccepting();
  fixture.run();
  fixture.Server.closeIdle();
  STRCMP_EQUAL("/9", fixture.served().c_str());
  fixture.respond("/9");
  CHECK_TRUE(late.receive().find("re/9") != std::string::npos);
  CHECK_THROWS(boost::system::system_error, BlockingClient{address});
}

// Guards against responses that wait for a slow request until the process ends,
// against requests that are broken off without delaying one, and against
// responses in another order than the requests.
TEST(HttpPipeline, ReleasedResponsesWait) {
  PipelineFixture fixture;
  fixture.sendRequests({"/1", "/2", "/3", "/4", "/5"});
  fixture.respond("/3");
  fixture.Server.startDrain();
  fixture.Server.releaseResponses();
  fixture.run();
  fixture.Received += fixture.Client->receive();
  STRCMP_EQUAL("/1/2", fixture.BrokenOff.c_str());
  STRCMP_EQUAL("/1/2/3", fixture.responses().c_str());
  fixture.respond("/5");
  STRCMP_EQUAL("/1/2/4", fixture.BrokenOff.c_str());
  STRCMP_EQUAL("/1/2/3/4/5", fixture.responses().c_str());
  fixture.run(Millis(700));
  LONGS_EQUAL(0, fixture.Server.connections());
}

// Guards against breaking off a request for a rejection, which can wait, and
// against a request that has no response at the end of a planned stop.
TEST(HttpPipeline, RejectionBreaksOffEarlierRequest) {
  PipelineFixture fixture;
  fixture.send(requestText("/1") + requestText("/2") + "BAD\r\n\r\n");
  fixture.Server.startDrain();
  fixture.Server.releaseResponses();
  fixture.run();
  STRCMP_EQUAL("", fixture.BrokenOff.c_str());
  fixture.Server.breakOffRequests();
  fixture.run();
  fixture.Received += fixture.Client->receive();
  STRCMP_EQUAL("/1/2", fixture.BrokenOff.c_str());
  STRCMP_EQUAL("/1/2", fixture.responses().c_str());
  CHECK_TRUE(fixture.received("400 Bad Request"));
}

// Guards against answering a client that left, and against requests that run
// on for it.
TEST(HttpPipeline, LeavingClientLeavesRequestsRunning) {
  PipelineFixture fixture;
  fixture.sendRequests({"/1", "/2", "/3"});
  fixture.respond("/2");
  fixture.Client.reset();
  fixture.run();
  LONGS_EQUAL(2, fixture.Abandoned.size());
  LONGS_EQUAL(0, fixture.Server.inFlight());
  LONGS_EQUAL(0, fixture.Server.connections());
}

// Guards against a rejection of a malformed request that reaches the client
// before the responses to the requests ahead of it, or in place of them.
TEST(HttpPipeline, MalformedRequestIsAnsweredFirst) {
  PipelineFixture fixture;
  fixture.send(requestText("/1") + requestText("/2") + "BAD\r\n\r\n" +
               requestText("/3"));
  STRCMP_EQUAL("/1/2", fixture.served().c_str());
  fixture.respond("/2");
  STRCMP_EQUAL("", fixture.Received.c_str());
  fixture.respond("/1");
  STRCMP_EQUAL("/1/2", fixture.responses().c_str());
  CHECK_TRUE(fixture.received("400 Bad Request"));
  STRCMP_EQUAL("/1/2", fixture.served().c_str());
  fixture.run(Millis(700));
  LONGS_EQUAL(0, fixture.Server.connections());
}

// Guards against losing the responses to earlier requests when the head of a
// later one does not arrive in time.
TEST(HttpPipeline, HeaderTimeoutDropsEarlierRequests) {
  PipelineFixture fixture;
  SessionLimits limits;
  limits.HeaderTimeout = Millis(60);
  fixture.Server.setLimits(limits);
  fixture.send(requestText("/1") + "GET /2 HT");
  fixture.run(Millis(120));
  fixture.respond("/1");
  STRCMP_EQUAL("/1", fixture.responses().c_str());
  CHECK_TRUE(fixture.received("408 Request Timeout"));
  LONGS_EQUAL(0, fixture.Abandoned.size());
}

// Guards against losing the responses to earlier requests when the body of a
// later one does not arrive in time.
TEST(HttpPipeline, BodyTimeoutDropsEarlierRequests) {
  PipelineFixture fixture;
  SessionLimits limits;
  limits.IdleTimeout = Millis(60);
  fixture.Server.setLimits(limits);
  fixture.send(requestText("/1") +
               "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab");
  fixture.run(Millis(120));
  fixture.respond("/1");
  STRCMP_EQUAL("/1", fixture.responses().c_str());
  fixture.run(Millis(40));
  LONGS_EQUAL(0, fixture.Server.connections());
  LONGS_EQUAL(0, fixture.Abandoned.size());
}

// Guards against closing a connection for idleness while requests run.
TEST(HttpPipeline, IdleTimeoutClosesBusyConnection) {
  PipelineFixture fixture;
  SessionLimits limits;
  limits.IdleTimeout = Millis(60);
  fixture.Server.setLimits(limits);
  fixture.sendRequests({"/1", "/2"});
  fixture.run(Millis(150));
  fixture.respond("/2");
  fixture.run(Millis(100));
  fixture.respond("/1");
  STRCMP_EQUAL("/1/2", fixture.responses().c_str());
  LONGS_EQUAL(1, fixture.Server.connections());
  fixture.run(Millis(150));
  LONGS_EQUAL(0, fixture.Server.connections());
}

// Guards against a client that keeps any number of requests in progress.
TEST(HttpPipeline, OutstandingRequestsAreUnbounded) {
  PipelineFixture fixture;
  SessionLimits limits;
  limits.MaxOutstanding = 2;
  fixture.Server.setLimits(limits);
  fixture.sendRequests({"/1", "/2", "/3", "/4"});
  STRCMP_EQUAL("/1/2", fixture.served().c_str());
  fixture.respond("/1");
  STRCMP_EQUAL("/1/2/3", fixture.served().c_str());
  fixture.respond("/2");
  fixture.respond("/3");
  fixture.respond("/4");
  STRCMP_EQUAL("/1/2/3/4", fixture.responses().c_str());
}

// Guards against responses that use any amount of memory while they wait for an
// earlier one.
TEST(HttpPipeline, WaitingResponsesAreUnbounded) {
  PipelineFixture fixture;
  SessionLimits limits;
  limits.MaxWaitingBytes = 1000;
  fixture.Server.setLimits(limits);
  fixture.sendRequests({"/1", "/2"});
  fixture.respond("/2", 1000);
  fixture.sendRequests({"/3"});
  STRCMP_EQUAL("/1/2", fixture.served().c_str());
  fixture.respond("/1");
  STRCMP_EQUAL("/1/2/3", fixture.served().c_str());
}

// Guards against a deadline that begins only when a buffered request is parsed.
TEST(HttpPipeline, BufferedRequestArrivesLate) {
  PipelineFixture fixture;
  SessionLimits limits;
  limits.MaxOutstanding = 1;
  fixture.Server.setLimits(limits);
  fixture.sendRequests({"/1"});
  MonoTime sentAt = fixture.Requests.at("/1")->ArrivedAt + Millis(40);
  fixture.sendRequests({"/2"});
  fixture.run(Millis(300));
  fixture.respond("/1");
  CHECK_TRUE(fixture.Requests.at("/2")->ArrivedAt < sentAt + Millis(200));
  CHECK_TRUE(fixture.Requests.at("/2")->ArrivedAt >=
             fixture.Requests.at("/1")->ArrivedAt);
}

// Guards against taking requests behind one that asks to close the connection.
TEST(HttpPipeline, RequestBehindCloseIsServed) {
  PipelineFixture fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" +
               requestText("/2"));
  fixture.respond("/1");
  STRCMP_EQUAL("/1", fixture.served().c_str());
  CHECK_TRUE(fixture.received("Connection: close"));
}

// Guards against an interim response between the responses to earlier requests.
TEST(HttpPipeline, InterimResponsePrecedesEarlierResponse) {
  PipelineFixture fixture;
  fixture.send(requestText("/1") +
               "POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
               "Content-Length: 2\r\n\r\n");
  STRCMP_EQUAL("", fixture.Client->receive().c_str());
  fixture.respond("/1");
  std::size_t first = fixture.Received.find("re/1");
  std::size_t interim = fixture.Received.find("100 Continue");
  CHECK_TRUE(first < interim && interim != std::string::npos);
  fixture.send("ab");
  fixture.respond("/2");
  STRCMP_EQUAL("/1/2", fixture.responses().c_str());
}

// Guards against a connection that closes at an aborted request while earlier
// ones have no response.
TEST(HttpPipeline, AbortDropsEarlierRequests) {
  PipelineFixture fixture;
  fixture.sendRequests({"/1", "/2"});
  fixture.Requests.at("/2")->Abort();
  fixture.run();
  LONGS_EQUAL(1, fixture.Server.connections());
  fixture.respond("/1");
  STRCMP_EQUAL("/1", fixture.responses().c_str());
  LONGS_EQUAL(0, fixture.Server.connections());
  LONGS_EQUAL(1, fixture.Abandoned.size());
}
