#include "savorylb/target_client_http.h"
#include "scripted_server.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <atomic>
#include <thread>

using namespace savorylb;

namespace {

std::string nonceOf(const std::string &head) {
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

TEST(TargetClient, TakesAWholeResponse) {
  ScriptedServer server([](const std::string &head) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Attempt-Nonce: " +
           nonceOf(head) + "\r\n\r\nok";
  });
  TargetResponse response =
      makeHttpTargetClient().Send(requestTo(server.address()), {});
  CHECK(response.Outcome == TargetOutcome::Done);
  STRCMP_EQUAL("ok", response.Body.c_str());
}

// Guards against passing on half a response as if it were whole.
TEST(TargetClient, RejectsABodyShorterThanItsLength) {
  TargetResponse response =
      sendTo("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  CHECK(response.Outcome == TargetOutcome::Unknown);
  STRCMP_EQUAL("truncated", response.Reason.c_str());
}

// Guards against taking a cut chunked body for a whole one.
TEST(TargetClient, RejectsAChunkedBodyThatWasCut) {
  TargetResponse response = sendTo("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                   "chunked\r\n\r\n4\r\nhalf\r\n");
  CHECK(response.Outcome == TargetOutcome::Unknown);
  STRCMP_EQUAL("truncated", response.Reason.c_str());
}

// Guards against giving a caller the answer to another request.
TEST(TargetClient, RejectsACrossedResponse) {
  TargetResponse response = sendTo("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                   "X-Attempt-Nonce: other\r\n\r\nok");
  CHECK(response.Outcome == TargetOutcome::Unknown);
  STRCMP_EQUAL("crossed", response.Reason.c_str());
}

// Guards against a missing echo where the service demands one.
TEST(TargetClient, RejectsAMissingEchoWhenItIsRequired) {
  ScriptedServer server([](const std::string &) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  });
  TargetRequest request = requestTo(server.address());
  request.RequireEcho = true;
  TargetResponse response = makeHttpTargetClient().Send(request, {});
  STRCMP_EQUAL("no-echo", response.Reason.c_str());
}

// Guards against calling a request unknown that the target says did not run.
TEST(TargetClient, BelievesATargetThatSaysNotRun) {
  TargetResponse response =
      sendTo("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Outcome: "
             "not-run\r\n\r\n");
  CHECK(response.Outcome == TargetOutcome::NotRun);
  STRCMP_EQUAL("shed", response.Reason.c_str());
}

// Guards against saying "not run" when a status alone suggests it.
TEST(TargetClient, DoesNotTakeAStatusForNotRun) {
  TargetResponse response =
      sendTo("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  CHECK(response.Outcome == TargetOutcome::Done);
}

// Guards against "not run" after bytes were sent to a target that vanished.
TEST(TargetClient, CannotKnowWhenTheConnectionEndsWithoutAnAnswer) {
  TargetResponse response = sendTo("");
  CHECK(response.Outcome == TargetOutcome::Unknown);
}

// Guards against "unknown" when no byte could be sent.
TEST(TargetClient, KnowsThatNothingRanWhenNobodyListens) {
  std::string address;
  {
    ScriptedServer server([](const std::string &) { return ""; });
    address = server.address();
  }
  TargetResponse response = makeHttpTargetClient().Send(requestTo(address), {});
  CHECK(response.Outcome == TargetOutcome::NotRun);
  STRCMP_EQUAL("connect", response.Reason.c_str());
}

// Guards against waiting longer than the caller does on a silent connection.
TEST(TargetClient, EndsAtTheDeadline) {
  Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
  TargetRequest request = requestTo(silent.address().toString());
  request.Remaining = Millis(150);
  TargetResponse response = makeHttpTargetClient().Send(request, {});
  CHECK(response.Outcome == TargetOutcome::Unknown);
  STRCMP_EQUAL("timeout", response.Reason.c_str());
  CHECK(response.Took < Millis(400));
  // Guards against reusing the slot of a request that may still run.
  CHECK(response.MayStillRun);
}

// Guards against slots that stay taken although the target stopped the request
// as soon as it was left.
TEST(TargetClient, SeesThatALeftRequestStopped) {
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

// Guards against a response that stalls in its body and holds the caller beyond
// the deadline.
TEST(TargetClient, EndsAtTheDeadlineInABody) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::atomic<bool> done{false};
  std::thread target([&] {
    Poco::Net::StreamSocket socket = server.acceptConnection();
    std::string half = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf";
    socket.sendBytes(half.data(), static_cast<int>(half.size()));
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
