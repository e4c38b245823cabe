#include "vm_fixture.h"

using namespace savorylb;
using namespace savorylb::standin;

namespace {

const std::string Signature = "Savorylb-Server-Signature: s\r\n";
const std::string Head = "HTTP/1.1 200 OK\r\n" + Signature;

struct BrokenCase {
  const char *Name;
  /// Without the attempt id, which is inserted behind the status line.
  std::string Bytes;
  ReplyEnd End = ReplyEnd::Close;
};

/// Responses that end before they are complete or are malformed.
std::vector<BrokenCase> brokenCases() {
  return {
      {"nothing", ""},
      {"status line, cut", "HTTP/1.1 20"},
      {"status line", "HTTP/1.1 200 OK\r\n"},
      {"field name, cut", Head + "Content-Le"},
      {"field value, cut", Head + "Content-Length: 1"},
      {"field line", Head + "Content-Length: 10\r\n"},
      {"fields without a length", Head},
      {"blank line, cut", Head + "Content-Length: 0\r\n\r"},
      {"interim response", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"head without the body", Head + "Content-Length: 10\r\n\r\n"},
      {"body, cut", Head + "Content-Length: 10\r\n\r\nabcde"},
      {"body, reset", Head + "Content-Length: 10\r\n\r\nabcde",
       ReplyEnd::Reset},
      {"no chunk", Head + "Transfer-Encoding: chunked\r\n\r\n"},
      {"chunk, cut", Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab"},
      {"chunk without the last one",
       Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"},
      {"last chunk, cut",
       Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n"},
      {"trailer fields, cut",
       Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\nT: x\r\n"},
      {"no length, reset", Head + "\r\nabcde", ReplyEnd::Reset},
      {"status 000",
       "HTTP/1.1 000 Odd\r\n" + Signature + "Content-Length: 0\r\n\r\n"},
      {"status 600",
       "HTTP/1.1 600 Odd\r\n" + Signature + "Content-Length: 0\r\n\r\n"},
      {"space in a field name",
       Head + "X A: b\r\nContent-Length: 5\r\n\r\nabcde"},
  };
}

ScriptedServer::Script script(const BrokenCase &broken) {
  return [broken](const HttpMessage &request, int) {
    std::string bytes = broken.Bytes;
    std::size_t line = bytes.find("200 OK\r\n");
    if (line != std::string::npos)
      bytes.insert(line + 8, "Savorylb-Attempt-Id: " +
                                 *findField(request, "Savorylb-Attempt-Id") +
                                 "\r\n");
    ScriptedReply reply;
    reply.Bytes = bytes;
    reply.End = broken.End;
    return reply;
  };
}

/// Larger than the buffers of both sockets, so that an early response arrives
/// while the upload is still being written.
constexpr std::size_t UploadBytes = 16 << 20;
constexpr std::int64_t MaxUploadBytes = 32 << 20;

void allowLargeUploads(VmFixture &fixture) {
  fixture.Platform.MaxBodyBytes = MaxUploadBytes;
  fixture.Platform.configure({"key-1"});
}

} // namespace

TEST_GROUP(BrokenResponse){};

// Guards against a response that breaks off and reaches the caller as a
// complete success, against telling the caller that such a request has not run,
// and against running it again.
TEST(BrokenResponse, AtMostOnceRequestSucceedsOrRunsAgain) {
  for (const BrokenCase &it : brokenCases()) {
    VmFixture fixture;
    ScriptedServer &server =
        fixture.Platform.addScriptedTarget("permits", script(it));
    PlatformTarget &good = fixture.Platform.addTarget("permits", "tema-b");
    fixture.addVm(2);
    fixture.waitReady(2);
    bool reached = false;
    for (int i = 0; i < 30 && !reached; ++i) {
      int runs = good.Received;
      CallerRequest request = permitRequest("");
      request.AffinityKey = std::to_string(i);
      CallerResult result = fixture.call(2, request);
      reached = server.Requests > 0;
      LONGS_EQUAL_TEXT(reached ? 502 : 200, result.Status, it.Name);
      LONGS_EQUAL_TEXT(runs + (reached ? 0 : 1), good.Received, it.Name);
      CHECK_TRUE_TEXT(!reached || !result.HasSignature, it.Name);
    }
    CHECK_TRUE_TEXT(reached, it.Name);
  }
}

// Guards against a retryable request that fails, or gets a part of a response,
// because one target's response breaks off.
TEST(BrokenResponse, RetryableRequestGetsPartOfAResponse) {
  for (const BrokenCase &it : brokenCases()) {
    VmFixture fixture;
    ScriptedServer &server =
        fixture.Platform.addScriptedTarget("tiles", script(it));
    fixture.Platform.addTarget("tiles", "tema-a");
    fixture.addVm(2);
    fixture.waitReady(2);
    for (int i = 0; i < 30 && server.Requests == 0; ++i) {
      CallerRequest request;
      request.AffinityKey = std::to_string(i);
      CallerResult result = fixture.call(2, request);
      LONGS_EQUAL_TEXT(200, result.Status, it.Name);
      CHECK_TRUE_TEXT(result.Body.find("answer to") == 0, it.Name);
    }
    LONGS_EQUAL_TEXT(1, server.Requests, it.Name);
  }
}

// Guards against discarding a response whose end is the end of its connection.
TEST(BrokenResponse, ResponseWithoutLengthIsDiscarded) {
  VmFixture fixture;
  fixture.Platform.addScriptedTarget("permits",
                                     script({"no length", Head + "\r\nabcde"}));
  fixture.addVm(2);
  fixture.waitReady(2);
  CallerResult result = fixture.call(2, permitRequest(""));
  LONGS_EQUAL(200, result.Status);
  STRCMP_EQUAL("abcde", result.Body.c_str());
}

// Guards against taking a reset or the end of the stream for the end of a body
// without a length while the upload is still being written.
TEST(BrokenResponse, EarlyResponseBreaksOffDuringAnUpload) {
  for (bool retryable : {false, true}) {
    VmFixture fixture;
    allowLargeUploads(fixture);
    const char *service = retryable ? "tiles" : "permits";
    ScriptedServer &server = fixture.Platform.addScriptedTarget(
        service,
        script({"early response", Head + "\r\nabcde", ReplyEnd::Reset}));
    server.RepliesToHead = true;
    PlatformTarget &good = fixture.Platform.addTarget(service, "tema-b");
    good.setMaxBodyBytes(MaxUploadBytes);
    fixture.addVm(2);
    fixture.waitReady(2);
    for (int i = 0; i < 30 && server.Requests == 0; ++i) {
      CallerRequest request = retryable ? CallerRequest() : permitRequest("");
      request.Body = std::string(UploadBytes, 'x');
      request.AffinityKey = std::to_string(i);
      CallerResult result = fixture.call(2, request);
      LONGS_EQUAL(server.Requests > 0 && !retryable ? 502 : 200, result.Status);
      CHECK_TRUE(result.Body.find("abcde") == std::string::npos);
    }
    LONGS_EQUAL(1, server.Requests);
  }
}

// Guards against discarding an early response whose length shows that it is
// complete.
TEST(BrokenResponse, EarlyResponseWithALengthIsDiscarded) {
  for (ReplyEnd end : {ReplyEnd::Reset, ReplyEnd::KeepOpen}) {
    VmFixture fixture;
    allowLargeUploads(fixture);
    ScriptedServer &server = fixture.Platform.addScriptedTarget(
        "permits", script({"early response",
                           Head + "Content-Length: 5\r\n\r\nabcde", end}));
    server.RepliesToHead = true;
    fixture.addVm(2);
    fixture.waitReady(2);
    CallerRequest request = permitRequest("");
    request.Body = std::string(UploadBytes, 'x');
    CallerResult result = fixture.call(2, request);
    LONGS_EQUAL(200, result.Status);
    STRCMP_EQUAL("abcde", result.Body.c_str());
  }
}
