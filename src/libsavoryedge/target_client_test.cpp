#include "savorylb/target_client_http.h"
#include "scripted_server.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <atomic>
#include <thread>

using namespace savorylb;

namespace {

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
