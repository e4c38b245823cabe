#include "explain_command.h"
#include "request_timeline.h"

#include <sstream>

// Redefines operator new by a macro, so it must follow the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

std::string line(std::int64_t timeMs, const std::string &vm,
                 const std::string &name, const std::string &fields) {
  return "{\"time_ms\":" + std::to_string(timeMs) + ",\"event\":1,\"name\":\"" +
         name + "\",\"vm\":\"" + vm + "\"," + fields + "}\n";
}

std::string connectionLost(std::int64_t timeMs) {
  return line(timeMs, "vm-2", "request_unknown",
              R"("trace":"p-1","service":"permits","target":"i-0",)"
              R"("status":502,"reason":"broken","sends":1,"total_us":80000)");
}

RequestTimeline timelineOf(const std::string &log,
                           const std::string &trace = "p-1") {
  std::istringstream in(log);
  return buildRequestTimeline(in, trace);
}

void checkCause(const char *part, const RequestTimeline &timeline) {
  if (timeline.Cause.find(part) == std::string::npos)
    FAIL(("no \"" + std::string(part) + "\" in: " + timeline.Cause).c_str());
}

} // namespace

TEST_GROUP(RequestTimeline){};

// Guards against events of several VMs in the order of their log files instead
// of their times.
TEST(RequestTimeline, OrdersLinesByTime) {
  RequestTimeline timeline = timelineOf(
      connectionLost(5000) +
      line(4950, "vm-1", "request_retried", R"("trace":"p-1","target":"i-3")"));
  LONGS_EQUAL(2, timeline.Events.size());
  STRCMP_EQUAL("vm-1", timeline.Events[0].Vm.c_str());
}

// Guards against including events of other requests and targets, and events too
// long before or after the request.
TEST(RequestTimeline, LeavesOutOtherRequestsAndDistantEvents) {
  RequestTimeline timeline = timelineOf(
      line(9900, "vm-2", "request_refused", R"("trace":"p-10","reason":"x")") +
      line(100, "vm-2", "target_down", R"("target":"i-0","reason":"gone")") +
      line(20000, "vm-2", "target_down", R"("target":"i-0","reason":"gone")") +
      line(9900, "vm-2", "target_down", R"("target":"i-9","reason":"gone")") +
      connectionLost(10000));
  LONGS_EQUAL(1, timeline.Events.size());
}

// Guards against taking a crash of the target for a lost response, or a lost
// response for a crash.
TEST(RequestTimeline, DistinguishesACrashFromALostResponse) {
  checkCause("was not reported down, so the response was probably lost",
             timelineOf(connectionLost(5000)));
  std::string down = line(6200, "vm-7", "target_down",
                          R"("target":"i-0","reason":"entry-removed")");
  checkCause(
      "was reported down or restarted 1200 ms later, so it had probably failed",
      timelineOf(connectionLost(5000) + down));
}

// Guards against attributing a pause of the VM process to the target.
TEST(RequestTimeline, DistinguishesASlowTargetFromAPausedVm) {
  std::string timedOut =
      line(5000, "vm-2", "request_unknown",
           R"("trace":"p-1","target":"i-0","reason":"timeout",)"
           R"("total_us":3000000,"expected_ms":40,"load_at_send":1)");
  checkCause("i-0 was slow or silent", timelineOf(timedOut));
  checkCause("expected 40 ms with 1 other", timelineOf(timedOut));
  std::string pause =
      line(4800, "vm-2", "pause_noticed", R"("gap_us":2000000)");
  checkCause("The VM itself was paused", timelineOf(timedOut + pause));
}

// Guards against taking the end of a planned stop for a failure of the target.
TEST(RequestTimeline, DistinguishesAStopFromALostResponse) {
  checkCause(
      "reached the end of its grace period while i-0 worked",
      timelineOf(line(5000, "vm-2", "request_unknown",
                      R"("trace":"p-1","target":"i-0","reason":"stopping")")));
}

// Guards against refusals that are reported without an explanation of their
// reason.
TEST(RequestTimeline, ExplainsEachRefusal) {
  auto refused = [](const std::string &reason) {
    return line(5000, "vm-2", "request_refused",
                R"("trace":"p-1","service":"tiles","team":"port","status":503,)"
                R"("config":7,"expected_ms":900,"reason":")" +
                    reason + "\"");
  };
  checkCause("no free slot", timelineOf(refused("overload")));
  checkCause("900 ms", timelineOf(refused("overload")));
  checkCause("was stopping", timelineOf(refused("stopping")));
  checkCause("Team port was over its limit", timelineOf(refused("team-limit")));
  checkCause("No target of tiles", timelineOf(refused("no-target")));
  checkCause("without running it", timelineOf(refused("shed")));
  checkCause("knew no configuration", timelineOf(refused("not-ready")));
  checkCause("version 7", timelineOf(refused("unknown-key")));
}

// Guards against losing the rest of a log that has a truncated line.
TEST(RequestTimeline, CountsInvalidLines) {
  RequestTimeline timeline =
      timelineOf("{\"time_ms\":49\n" + connectionLost(5000));
  LONGS_EQUAL(1, timeline.InvalidLines);
  LONGS_EQUAL(1, timeline.Events.size());
}

// Guards against reporting an unknown id as a request without a cause.
TEST(RequestTimeline, UnknownIdIsNotFound) {
  std::istringstream in(connectionLost(5000));
  CommandResult result = explainRequest(in, "p-2");
  LONGS_EQUAL(static_cast<int>(ExitCode::NotFound),
              static_cast<int>(result.Code));
}
