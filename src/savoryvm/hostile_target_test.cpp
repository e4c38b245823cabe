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

// Guards against the end of the process for lack of memory when several targets
// send large responses that never end.
TEST(HostileTarget, ResponsesTogetherStayWithinTheirBudget) {
  constexpr int Requests = 6;
  constexpr std::int64_t PartBytes = 30 << 20;
  VmFixture fixture;
  std::string part = OkLine +
                     "Content-Length: " + std::to_string(PartBytes + 1) +
                     "\r\n\r\n" + std::string(PartBytes, 'x');
  ScriptedServer &server = fixture.Platform.addScriptedTarget(
      "permits", [&](const HttpMessage &, int) {
        return ScriptedReply{part, ""};
      });
  PlatformTarget &good = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  int broken = 0;
  for (int i = 0; i < Requests; ++i)
    callVm(fixture.Io, fixture.Platform.callerAddress(2),
           permitRequest("p-" + std::to_string(i)),
           [&](const CallerResult &it) { broken += it.Status == 502; });
  CHECK_TRUE(
      fixture.waitUntil([&] { return broken >= Requests - 1; }, Millis(1900)));
  // Ordinary responses still fit.
  LONGS_EQUAL(200, fixture.call(2, CallerRequest()).Status);
  LONGS_EQUAL(1, good.Runs.size());
  CHECK_TRUE(server.Requests == Requests);
}

// Guards against the end of the process for lack of memory when several callers
// send large bodies; such a request is refused before it runs.
TEST(HostileTarget, BodiesOfCallersTogetherStayWithinTheirBudget) {
  VmFixture fixture;
  fixture.Platform.MaxBodyBytes = 64 << 20;
  fixture.Platform.configure({"key-1"});
  PlatformTarget &target = fixture.Platform.addTarget("permits", "tema-a");
  target.Mode = TargetMode::Silent;
  target.setMaxBodyBytes(fixture.Platform.MaxBodyBytes);
  fixture.addVm(2);
  fixture.waitReady(2);
  auto upload = [](const std::string &attempt) {
    CallerRequest request = permitRequest(attempt);
    request.Body = std::string(30 << 20, 'x');
    return request;
  };
  for (const char *it : {"p-1", "p-2"})
    callVm(fixture.Io, fixture.Platform.callerAddress(2), upload(it),
           [](const CallerResult &) {});
  CHECK_TRUE(fixture.waitUntil([&] {
    return fixture.Platform.runCount("p-1") +
               fixture.Platform.runCount("p-2") ==
           2;
  }));
  CallerResult refused = fixture.call(2, upload("p-3"));
  LONGS_EQUAL(503, refused.Status);
  CHECK_FALSE(refused.RetryAfter.empty());
  LONGS_EQUAL(0, fixture.Platform.runCount("p-3"));
  CHECK_TRUE(refused.Took < Millis(1000));
  // Ordinary bodies still fit.
  CallerRequest small = permitRequest("p-4");
  small.Timeout = Millis(300);
  LONGS_EQUAL(504, fixture.call(2, small).Status);
  LONGS_EQUAL(1, fixture.Platform.runCount("p-4"));
}
