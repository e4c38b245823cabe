#include "savorylb/target_client_http.h"
#include "scripted_server.h"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace savorylb;

namespace {

TargetResponse sendTo(const std::string &bytes) {
  ScriptedServer server([&](const std::string &) { return bytes; });
  TargetRequest request;
  request.Address = server.address();
  request.Method = "GET";
  request.Path = "/x";
  request.Nonce = "n1";
  request.Remaining = Millis(500);
  return makeHttpTargetClient().Send(request, {});
}

} // namespace

TEST_GROUP(MalformedResponse){};

// Guards against relaying a status that HTTP does not define, such as 000,
// which no caller can interpret.
TEST(MalformedResponse, StatusOutOfRangeIsRelayed) {
  for (const char *it : {"000", "001", "099", "99", "600", "999", "-10"}) {
    // Poco reads no body after a status below 200.
    for (const char *rest :
         {"Content-Length: 2\r\n\r\nok", "Content-Length: 0\r\n\r\n"}) {
      TargetResponse response =
          sendTo("HTTP/1.1 " + std::string(it) + " Odd\r\n" + rest);
      CHECK_TRUE_TEXT(response.Outcome == TargetOutcome::Unknown, it);
      CHECK_TRUE_TEXT(response.Body.empty(), it);
    }
  }
}

// Guards against rejecting the lowest and the highest final status.
TEST(MalformedResponse, StatusInRangeIsRejected) {
  for (const char *it : {"200", "599"}) {
    TargetResponse response = sendTo("HTTP/1.1 " + std::string(it) +
                                     " Odd\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE_TEXT(response.Outcome == TargetOutcome::Done, it);
    LONGS_EQUAL(std::stoi(it), response.Status);
  }
}
