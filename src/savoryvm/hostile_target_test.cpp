#include "vm_fixture.h"

using namespace savorylb;
using namespace savorylb::standin;

namespace {

const std::string OkLine = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = OkLine + "Transfer-Encoding: chunked\r\n\r\n";

struct EndlessCase {
  const char *Name;
  ScriptedReply Reply;
};

/// Bytes that never become a complete response.
std::vector<EndlessCase> endlessCases() {
  return {
      {"head without a line end", {"", "x"}},
      {"header fields", {OkLine, "A: b\r\n"}},
      {"interim responses", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
      {"chunk extension", {Chunked + "5;", "x"}},
      {"trailer fields", {Chunked + "0\r\n", "T: x\r\n"}},
      {"trailer field", {Chunked + "0\r\nT: ", "x"}},
      {"body without a length", {OkLine + "\r\n", "x"}},
      {"chunks", {Chunked, "5\r\nhello\r\n"}},
      {"one chunk", {Chunked + "ffffffffffff\r\n", "x"}},
      {"responses to other requests",
       {"",
        OkLine + "Savorylb-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n"}},
      {"bodies of responses to other requests",
       {"", OkLine +
                "Savorylb-Attempt-Id: other\r\nContent-Length: 100000\r\n"
                "\r\n" +
                std::string(100'000, 'x')}},
  };
}

/// Largest number of bytes that a target can write: the largest body, sent in
/// chunks of half the size of their text, and what the sockets hold.
constexpr std::int64_t MaxWrittenBytes = 2 * (32 << 20) + (12 << 20);

} // namespace

TEST_GROUP(HostileTarget){};

// Guards against reading endless bytes of a target until the deadline, and
// against telling the caller that such a request was not run.
TEST(HostileTarget, EndlessBytesEndAnAtMostOnceRequestEarly) {
  for (const EndlessCase &it : endlessCases()) {
    VmFixture fixture;
    ScriptedServer &server = fixture.Platform.addScriptedTarget(
        "permits", [&](const HttpMessage &, int) { return it.Reply; });
    fixture.addVm(2);
    fixture.waitReady(2);
    CallerResult result = fixture.call(2, permitRequest("p-1"));
    LONGS_EQUAL_TEXT(502, result.Status, it.Name);
    CHECK_TRUE_TEXT(server.BytesWritten < MaxWrittenBytes, it.Name);
    LONGS_EQUAL_TEXT(1, server.Requests, it.Name);
  }
}

// Guards against a retryable request that fails because of endless bytes, and
// against a target that is used as before after it sent them.
TEST(HostileTarget, EndlessBytesMoveRequestsToAnotherTarget) {
  for (const EndlessCase &it : endlessCases()) {
    VmFixture fixture;
    ScriptedServer &server = fixture.Platform.addScriptedTarget(
        "tiles", [&](const HttpMessage &, int) { return it.Reply; });
    fixture.Platform.addTarget("tiles", "tema-a");
    fixture.addVm(2);
    fixture.waitReady(2);
    for (int i = 0; i < 6; ++i) {
      CallerRequest request;
      request.AffinityKey = std::to_string(i);
      LONGS_EQUAL_TEXT(200, fixture.call(2, request).Status, it.Name);
    }
    CHECK_TRUE_TEXT(server.Requests < 6, it.Name);
  }
}
