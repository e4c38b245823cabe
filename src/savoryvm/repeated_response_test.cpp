#include "vm_fixture.h"

using namespace savorylb;
using namespace savorylb::standin;

namespace {

const std::string AttemptField = "Savorylb-Attempt-Id";

std::string attemptOf(const HttpMessage &request) {
  const std::string *found = findField(request, AttemptField);
  return found ? *found : "";
}

/// \param attempt empty for a response without an attempt id.
std::string response(int status, const std::string &attempt,
                     const std::string &more) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n" + more;
  if (!attempt.empty())
    text += AttemptField + ": " + attempt + "\r\n";
  return text + "Content-Length: 2\r\n\r\nok";
}

std::string refusal(const std::string &attempt) {
  return response(503, attempt, "Savorylb-Not-Executed: 1\r\n");
}

std::string answer(const std::string &attempt) {
  return response(200, attempt, "Savorylb-Server-Signature: s\r\n");
}

/// Requests of each attempt that a target ran.
using Runs = std::map<std::string, int>;

/// A target that answers the first request of a connection as \p first and the
/// later ones as \p later.
ScriptedServer::Script
script(Runs &runs, const std::function<std::string(const std::string &)> &first,
       const std::function<std::string(const std::string &)> &later) {
  return [&runs, first, later](const HttpMessage &request, int nth) {
    std::string attempt = attemptOf(request);
    ScriptedReply reply;
    reply.Bytes = nth == 1 ? first(attempt) : later(attempt);
    // A request that the target refuses as the first one is not run.
    runs[attempt] += nth > 1 || reply.Bytes != refusal(attempt);
    return reply;
  };
}

CallerRequest shortRequest(const std::string &attempt) {
  CallerRequest request = permitRequest(attempt);
  request.Timeout = Millis(500);
  return request;
}

bool isUnknown(int status) { return status == 502 || status == 504; }

} // namespace

TEST_GROUP(RepeatedResponse){};

// Guards against an earlier refusal that is taken as the response to a request
// which the target runs.
TEST(RepeatedResponse, EarlierRefusalIsNoAnswer) {
  for (bool withId : {true, false}) {
    VmFixture fixture;
    Runs runs;
    ScriptedServer &server = fixture.Platform.addScriptedTarget(
        "permits", script(runs, refusal, [&](const std::string &) {
          return refusal(withId ? "p-1" : "");
        }));
    fixture.addVm(2);
    fixture.waitReady(2);
    LONGS_EQUAL(503, fixture.call(2, shortRequest("p-1")).Status);
    LONGS_EQUAL(0, runs["p-1"]);
    CallerResult result = fixture.call(2, shortRequest("p-2"));
    CHECK_TRUE(isUnknown(result.Status));
    LONGS_EQUAL(1, runs["p-2"]);
    // A new connection, on which a refusal counts.
    LONGS_EQUAL(503, fixture.call(2, shortRequest("p-3")).Status);
    LONGS_EQUAL(2, server.Connections);
  }
}

// Guards against the loss of a response that follows an earlier refusal, and
// against the use of a connection on which foreign responses arrive.
TEST(RepeatedResponse, ConnectionIsNotReusedAfterAForeignResponse) {
  VmFixture fixture;
  Runs runs;
  ScriptedServer &server = fixture.Platform.addScriptedTarget(
      "permits", script(runs, refusal, [&](const std::string &attempt) {
        return refusal("p-1") + answer(attempt);
      }));
  fixture.addVm(2);
  fixture.waitReady(2);
  LONGS_EQUAL(503, fixture.call(2, shortRequest("p-1")).Status);
  LONGS_EQUAL(200, fixture.call(2, shortRequest("p-2")).Status);
  LONGS_EQUAL(1, server.Connections);
  LONGS_EQUAL(503, fixture.call(2, shortRequest("p-3")).Status);
  LONGS_EQUAL(2, server.Connections);
}

// Guards against the use of a connection on which a second response arrived
// together with the first one or while it was idle.
TEST(RepeatedResponse, SurplusResponseEndsTheConnection) {
  VmFixture fixture;
  Runs runs;
  ScriptedServer &server = fixture.Platform.addScriptedTarget(
      "permits", script(
                     runs,
                     [](const std::string &attempt) {
                       return refusal(attempt) + refusal(attempt);
                     },
                     refusal));
  fixture.addVm(2);
  fixture.waitReady(2);
  for (int i = 1; i <= 3; ++i) {
    LONGS_EQUAL(503,
                fixture.call(2, shortRequest("p-" + std::to_string(i))).Status);
    LONGS_EQUAL(i, server.Connections);
  }
}

// Guards against an earlier refusal that is taken as the response to a request
// without an attempt id, for which nothing tells them apart.
TEST(RepeatedResponse, RequestWithoutAttemptIdUsesItsOwnConnection) {
  VmFixture fixture;
  ScriptedServer &server = fixture.Platform.addScriptedTarget(
      "permits", [&](const HttpMessage &request, int nth) {
        std::string attempt = attemptOf(request);
        return ScriptedReply{nth == 1 ? answer(attempt) : refusal("p-1"), ""};
      });
  fixture.addVm(2);
  fixture.waitReady(2);
  LONGS_EQUAL(200, fixture.call(2, shortRequest("p-1")).Status);
  for (int i = 2; i <= 3; ++i) {
    CallerRequest request = shortRequest("none");
    request.SendsAttempt = false;
    LONGS_EQUAL(200, fixture.call(2, request).Status);
    LONGS_EQUAL(i, server.Connections);
  }
}

// Guards against a true refusal that is no longer retried at another target, on
// a new and on a reused connection.
TEST(RepeatedResponse, OwnRefusalIsRetried) {
  VmFixture fixture;
  Runs runs;
  fixture.Platform.addScriptedTarget("permits", script(runs, refusal, refusal));
  PlatformTarget &good = fixture.Platform.addTarget("permits", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  for (int i = 0; i < 6; ++i) {
    CallerRequest request = shortRequest("p-" + std::to_string(i));
    request.AffinityKey = std::to_string(i);
    LONGS_EQUAL(200, fixture.call(2, request).Status);
  }
  LONGS_EQUAL(6, good.Runs.size());
}
