#include "savorylb/clock.h"
#include "savorylb/target_client_http.h"
#include "scripted_server.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <atomic>
#include <thread>

using namespace savorylb;

namespace {

/// Sends bytes and then repeats others until its client closes the connection,
/// but at most for 3 s.
struct EndlessServer {
  Poco::Net::ServerSocket Socket{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::int64_t Sent = 0;
  std::thread Thread;

  EndlessServer(const std::string &start, const std::string &endless)
      : Thread([this, start, endless] { run(start, endless); }) {}

  std::string address() const { return Socket.address().toString(); }

  void run(const std::string &start, const std::string &endless) {
    Poco::Net::StreamSocket socket = Socket.acceptConnection();
    socket.setSendTimeout(Poco::Timespan(3, 0));
    std::array<char, 4096> request{};
    socket.receiveBytes(request.data(), request.size());
    std::string block = start;
    MonoTime end = monoNow() + Seconds(3);
    try {
      while (monoNow() < end) {
        Sent += socket.sendBytes(block.data(), static_cast<int>(block.size()),
                                 MSG_NOSIGNAL);
        block = endless;
        while (block.size() < 65'536)
          block += endless;
      }
    } catch (const Poco::Exception &) {
      // The client has closed the connection.
    }
  }
};

struct EndlessCase {
  const char *Name;
  std::string Start;
  std::string Endless;
};

std::vector<EndlessCase> endlessCases() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  return {{"status line", "HTTP/1.1 200 ", "x"},
          {"header fields", ok, "A: b\r\n"},
          {"one header field", ok + "A: ", "x"},
          {"interim responses", "HTTP/1.1 100 Continue\r\n\r\n",
           "HTTP/1.1 100 Continue\r\n\r\n"},
          {"interim responses with hints", "HTTP/1.1 103 Hints\r\n\r\n",
           "HTTP/1.1 103 Hints\r\n\r\n"},
          {"body without a length", ok + "\r\n", "x"},
          {"JSON without an end", ok + "\r\n{\"a\":\"", "x"},
          {"chunks", chunked, "5\r\nhello\r\n"},
          {"chunk extension", chunked + "5;", "x"},
          {"trailer fields", chunked + "0\r\n", "T: x\r\n"}};
}

/// What the socket's buffers hold of bytes that are not read.
constexpr std::int64_t MaxSocketBytes = 12 << 20;

std::string extractNonce(const std::string &head) {
  std::string name = "X-Attempt-Nonce: ";
  std::size_t at = head.find(name) + name.size();
  return head.substr(at, head.find("\r\n", at) - at);
}

TargetRequest requestTo(const std::string &address) {
  TargetRequest request;
  request.Address = address;
  request.Method = "GET";
  request.Path = "/x";
  request.Nonce = "n1";
  request.Remaining = Millis(500);
  return request;
}

TargetResponse sendTo(const std::string &bytes) {
  ScriptedServer server([&](const std::string &) { return bytes; });
  return makeHttpTargetClient().Send(requestTo(server.address()), {});
}

} // namespace

TEST_GROUP(TargetClient){};

TEST(TargetClient, AcceptsCompleteResponse) {
  ScriptedServer server([](const std::string &head) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Attempt-Nonce: " +
           extractNonce(head) + "\r\n\r\nok";
  });
  TargetResponse response =
      makeHttpTargetClient().Send(requestTo(server.address()), {});
  CHECK(response.Outcome == TargetOutcome::Done);
  STRCMP_EQUAL("ok", response.Body.c_str());
}

// Guards against relaying a truncated response as complete.
TEST(TargetClient, RejectsBodyShorterThanContentLength) {
  TargetResponse response =
      sendTo("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  CHECK(response.Outcome == TargetOutcome::Unknown);
  STRCMP_EQUAL("truncated", response.Reason.c_str());
}

// Guards against accepting a truncated chunked body as complete.
TEST(TargetClient, RejectsTruncatedChunkedBody) {
  TargetResponse response = sendTo("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                   "chunked\r\n\r\n4\r\nhalf\r\n");
  CHECK(response.Outcome == TargetOutcome::Unknown);
  STRCMP_EQUAL("truncated", response.Reason.c_str());
}

// Guards against returning the response to another request to a caller.
TEST(TargetClient, RejectsResponseToAnotherRequest) {
  TargetResponse response = sendTo("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                   "X-Attempt-Nonce: other\r\n\r\nok");
  CHECK(response.Outcome == TargetOutcome::Unknown);
  STRCMP_EQUAL("crossed", response.Reason.c_str());
}

// Guards against accepting a response without the nonce when the service
// requires its echo.
TEST(TargetClient, RejectsMissingEchoIfRequired) {
  ScriptedServer server([](const std::string &) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  });
  TargetRequest request = requestTo(server.address());
  request.RequireEcho = true;
  TargetResponse response = makeHttpTargetClient().Send(request, {});
  STRCMP_EQUAL("no-echo", response.Reason.c_str());
}

// Guards against reporting Unknown when the target states that the request did
// not run.
TEST(TargetClient, AcceptsNotRunFromTarget) {
  TargetResponse response =
      sendTo("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Outcome: "
             "not-run\r\n\r\n");
  CHECK(response.Outcome == TargetOutcome::NotRun);
  STRCMP_EQUAL("shed", response.Reason.c_str());
}

// Guards against inferring NotRun from the status code alone.
TEST(TargetClient, Status503WithoutOutcomeHeaderIsDone) {
  TargetResponse response =
      sendTo("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  CHECK(response.Outcome == TargetOutcome::Done);
}

// Guards against reporting NotRun when the connection ends without a response
// after bytes were sent.
TEST(TargetClient, ClosedConnectionWithoutResponseIsUnknown) {
  TargetResponse response = sendTo("");
  CHECK(response.Outcome == TargetOutcome::Unknown);
}

// Guards against reporting Unknown when no byte could be sent.
TEST(TargetClient, RefusedConnectionIsNotRun) {
  std::string address;
  {
    ScriptedServer server([](const std::string &) { return ""; });
    address = server.address();
  }
  TargetResponse response = makeHttpTargetClient().Send(requestTo(address), {});
  CHECK(response.Outcome == TargetOutcome::NotRun);
  STRCMP_EQUAL("connect", response.Reason.c_str());
}

// Guards against waiting for an unresponsive target beyond the deadline.
TEST(TargetClient, StopsWaitingAtDeadline) {
  Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
  TargetRequest request = requestTo(silent.address().toString());
  request.Remaining = Millis(150);
  TargetResponse response = makeHttpTargetClient().Send(request, {});
  CHECK(response.Outcome == TargetOutcome::Unknown);
  STRCMP_EQUAL("timeout", response.Reason.c_str());
  CHECK(response.Took < Millis(400));
  // Guards against granting the slot again while the request may still run.
  CHECK(response.MayStillRun);
}

// Guards against slots that stay busy although the target stopped the request
// as soon as it was cancelled.
TEST(TargetClient, DetectsThatCancelledRequestStopped) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::thread target([&] {
    Poco::Net::StreamSocket socket = server.acceptConnection();
    std::array<char, 1024> buf{};
    while (socket.receiveBytes(buf.data(), buf.size()) > 0)
      continue;
  });
  TargetRequest request = requestTo(server.address().toString());
  request.Cancelled = [] { return true; };
  TargetResponse response = makeHttpTargetClient().Send(request, {});
  target.join();
  STRCMP_EQUAL("cancelled", response.Reason.c_str());
  CHECK_FALSE(response.MayStillRun);
}

// Guards against waiting beyond the deadline for a response body that stalls.
TEST(TargetClient, StopsReadingBodyAtDeadline) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::atomic<bool> done{false};
  std::thread target([&] {
    Poco::Net::StreamSocket socket = server.acceptConnection();
    std::string partial = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf";
    socket.sendBytes(partial.data(), static_cast<int>(partial.size()));
    for (int i = 0; i < 200 && !done; ++i)
      std::this_thread::sleep_for(Millis(10));
  });
  TargetRequest request = requestTo(server.address().toString());
  request.Remaining = Millis(150);
  TargetResponse response = makeHttpTargetClient().Send(request, {});
  done = true;
  target.join();
  CHECK(response.Outcome == TargetOutcome::Unknown);
  CHECK(response.Took < Millis(400));
}

// Guards against reading endless bytes of a target beyond the deadline.
TEST(TargetClient, StopsReadingEndlessBytesAtDeadline) {
  for (const EndlessCase &it : endlessCases()) {
    EndlessServer server(it.Start, it.Endless);
    TargetRequest request = requestTo(server.address());
    request.Remaining = Millis(300);
    TargetResponse response = makeHttpTargetClient().Send(request, {});
    server.Thread.join();
    CHECK_TRUE_TEXT(response.Outcome == TargetOutcome::Unknown, it.Name);
    CHECK_TRUE_TEXT(response.Took < Millis(1000), it.Name);
    CHECK_TRUE_TEXT(static_cast<std::int64_t>(response.Body.size()) <=
                        MaxBufferedResponse + 65'536,
                    it.Name);
  }
}

// Guards against load and health reports without an end, which would be kept in
// memory until the target stops.
TEST(TargetClient, EndlessReportsFillTheMemory) {
  for (const EndlessCase &it : endlessCases()) {
    EndlessServer load(it.Start, it.Endless);
    MonoTime start = monoNow();
    CHECK_FALSE_TEXT(bool(makeHttpTargetClient().ReadLoad(load.address())),
                     it.Name);
    CHECK_TRUE_TEXT(monoNow() - start < Millis(1500), it.Name);
    load.Thread.join();
    CHECK_TRUE_TEXT(load.Sent < MaxSocketBytes, it.Name);
    EndlessServer health(it.Start, it.Endless);
    CHECK_FALSE_TEXT(bool(makeHttpTargetClient().ProbeHealth(health.address())),
                     it.Name);
    health.Thread.join();
    CHECK_TRUE_TEXT(health.Sent < MaxSocketBytes, it.Name);
  }
}

// Guards against accepting a chunked body that stalls until the deadline as
// complete.
TEST(TargetClient, RejectsChunkedBodyThatStalls) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::atomic<bool> done{false};
  std::thread target([&] {
    Poco::Net::StreamSocket socket = server.acceptConnection();
    std::string partial = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                          "\r\n4\r\nhalf\r\n";
    socket.sendBytes(partial.data(), static_cast<int>(partial.size()));
    for (int i = 0; i < 200 && !done; ++i)
      std::this_thread::sleep_for(Millis(10));
  });
  TargetRequest request = requestTo(server.address().toString());
  request.Remaining = Millis(150);
  TargetResponse response = makeHttpTargetClient().Send(request, {});
  done = true;
  target.join();
  CHECK(response.Outcome == TargetOutcome::Unknown);
  CHECK(response.Took < Millis(400));
}
