#include "savorylb/store_client_http.h"
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

// Guards against taking an interim response for the final one.
TEST(MalformedResponse, InterimResponseIsRelayedAsFinal) {
  for (const char *it :
       {"100 Continue\r\n", "102 Processing\r\n", "103 Hints\r\nLink: x\r\n",
        "103 Hints\r\nContent-Length: 0\r\n"}) {
    TargetResponse response =
        sendTo("HTTP/1.1 " + std::string(it) +
               "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE_TEXT(response.Outcome == TargetOutcome::Done, it);
    LONGS_EQUAL_TEXT(200, response.Status, it);
    STRCMP_EQUAL_TEXT("ok", response.Body.c_str(), it);
  }
}

// Guards against relaying a response with an invalid field line, or with a
// wrong body because a part of the head is taken for the body.
TEST(MalformedResponse, InvalidFieldNameIsRelayed) {
  const std::string length = "Content-Length: 2\r\n";
  for (const std::string &it : std::vector<std::string>{
           "X A: b\r\n", "X-A : b\r\n", "X-A\t: b\r\n", " X-A: b\r\n",
           "X\x01-A: b\r\n", "X\x7f-A: b\r\n", std::string("X\0A: b\r\n", 8),
           "X\rA: b\r\n", "\rX-A: b\r\n", "\nX-A: b\r\n", "X-A b\r\n",
           ": b\r\n", "X\xc3\xa4: b\r\n", "X(A): b\r\n"}) {
    for (bool first : {true, false}) {
      TargetResponse response =
          sendTo("HTTP/1.1 200 OK\r\n" + (first ? it + length : length + it) +
                 "X-B: c\r\n\r\nok");
      bool folded = it[0] == ' ' && !first;
      if (!folded)
        CHECK_TRUE_TEXT(response.Outcome == TargetOutcome::Unknown, it.c_str());
    }
  }
}

// Guards against a length that is read from a field with an invalid name.
TEST(MalformedResponse, LengthWithASpaceBeforeTheColonIsUsed) {
  for (const char *it :
       {"Content-Length : 2\r\nContent-Length: 1\r\n",
        "Content-Length: 1\r\nContent-Length : 2\r\n",
        "Transfer-Encoding : chunked\r\nContent-Length: 2\r\n"}) {
    TargetResponse response =
        sendTo("HTTP/1.1 200 OK\r\n" + std::string(it) + "\r\nok");
    CHECK_TRUE_TEXT(response.Outcome == TargetOutcome::Unknown, it);
  }
}

// Guards against rejecting a field that continues on the next line, which a
// gateway may join to one line.
TEST(MalformedResponse, FoldedFieldIsRelayedInTwoLines) {
  TargetResponse response = sendTo("HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n"
                                   "Content-Length: 2\r\n\r\nok");
  CHECK_TRUE(response.Outcome == TargetOutcome::Done);
  STRCMP_EQUAL("ok", response.Body.c_str());
  for (const auto &[name, value] : response.Headers) {
    (void)name;
    CHECK_TRUE(value.find_first_of("\r\n") == std::string::npos);
  }
}

// Guards against a store's response whose body is a part of its head.
TEST(MalformedResponse, InvalidHeadOfTheStoreIsRead) {
  ScriptedServer server([](const std::string &) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\rX-A: b\r\ntrue\r\n\r\n";
  });
  StoreClient store =
      makeHttpStoreClient("http://" + server.address(), Millis(300));
  auto written = store.CompareAndSwap("k", "v", 1);
  CHECK_TRUE(!written);
  CHECK_TRUE(written.error().Code == ErrorCode::Unknown);
}
