// Sends requests that fail to a daemon process and finds the cause of each in
// the daemon's log alone, as docs/OPERATIONS.md describes.
#include "request_timeline.h"
#include "simulated_platform.h"
#include "vm_process.h"

#include "savorylb/clock.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>

// Redefines operator new by a macro, so it must follow the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;
using namespace savorylb::standin;

namespace {

/// Addresses are 127.0.98.x; other tests use other subnets.
constexpr int Net = 98;
/// Wait for the daemon's log, which is flushed every 100 ms.
constexpr Duration LogDelay = Millis(400);

struct ExplainFixture {
  asio::io_context Io;
  SimulatedPlatform Platform{Io};
  std::string Folder =
      (std::filesystem::temp_directory_path() / "savory-explain-walk").string();
  std::string Log = Folder + "/vm-2.log";
  std::unique_ptr<soak::VmProcess> Vm;

  ExplainFixture() {
    std::filesystem::remove_all(Folder);
    std::filesystem::create_directories(Folder);
    CHECK_TRUE(Platform.start(Net));
  }

  void runFor(Duration span) {
    Io.run_for(std::chrono::microseconds(span.count()));
    Io.restart();
  }

  CallerResult call(const CallerRequest &request) {
    CallerResult result;
    bool done = false;
    callVm(Io, Platform.callerAddress(2), request, [&](const CallerResult &it) {
      result = it;
      done = true;
    });
    MonoTime end = monoNow() + Seconds(8);
    while (!done && monoNow() < end)
      runFor(Millis(5));
    return result;
  }

  /// Starts the daemon and waits until a request succeeds.
  void start() {
    std::string settings = Folder + "/vm-2.json";
    std::ofstream(settings) << Platform.vmSettings(2, "tema-a");
    Vm = std::make_unique<soak::VmProcess>(SAVORY_VM_PROGRAM, settings, Log);
    CHECK_TRUE(Vm->start());
    CallerRequest request;
    MonoTime end = monoNow() + Seconds(10);
    for (int i = 0; monoNow() < end; ++i) {
      request.Attempt = "start-" + std::to_string(i);
      if (call(request).Status == 200)
        return;
      runFor(Millis(50));
    }
    FAIL("the daemon does not serve");
  }

  void checkCause(const std::string &attempt, const char *part) {
    runFor(LogDelay);
    std::ifstream log(Log);
    RequestTimeline timeline = buildRequestTimeline(log, attempt);
    if (timeline.Cause.find(part) == std::string::npos)
      FAIL(("no \"" + std::string(part) + "\" in: " + timeline.Cause).c_str());
  }
};

CallerRequest permitRequest(const std::string &attempt) {
  CallerRequest request;
  request.Method = "POST";
  request.Path = "/permits/1";
  request.Body = "zone 7";
  request.Attempt = attempt;
  return request;
}

} // namespace

TEST_GROUP(ExplainRequest){};

// Guards against refusals, lost responses and unresponsive targets whose cause
// cannot be found in the log.
TEST(ExplainRequest, FindsTheCauseInTheLogAlone) {
  ExplainFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  PlatformTarget &permits = fixture.Platform.addTarget("permits", "tema-a");
  fixture.start();

  permits.Mode = TargetMode::Shed;
  LONGS_EQUAL(503, fixture.call(permitRequest("p-shed")).Status);
  fixture.checkCause("p-shed", "refused it without running it");

  permits.Mode = TargetMode::DropResponse;
  LONGS_EQUAL(502, fixture.call(permitRequest("p-lost")).Status);
  fixture.checkCause(
      "p-lost", "was not reported down, so the response was probably lost");

  permits.Mode = TargetMode::Silent;
  LONGS_EQUAL(504, fixture.call(permitRequest("p-late")).Status);
  fixture.checkCause("p-late", "was slow or silent");
}

// Guards against a crash that leaves no line in the log, and against the loss
// of the lines before it.
TEST(ExplainRequest, FatalSignalLeavesNoLine) {
  ExplainFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.start();
  CallerRequest request;
  request.Attempt = "last-before-the-crash";
  LONGS_EQUAL(200, fixture.call(request).Status);
  fixture.Vm->signal(SIGSEGV);
  MonoTime end = monoNow() + Seconds(5);
  while (fixture.Vm->running() && monoNow() < end)
    fixture.runFor(Millis(5));
  CHECK_FALSE(fixture.Vm->running());
  std::ifstream log(fixture.Log);
  std::string line;
  std::string last;
  bool served = false;
  while (std::getline(log, line)) {
    served |=
        line.find("\"trace\":\"last-before-the-crash\"") != std::string::npos;
    last = line;
  }
  CHECK_TRUE(served);
  CHECK_TRUE(last.find("\"name\":\"process_crashed\"") != std::string::npos);
  CHECK_TRUE(last.find("\"signal\":11}") != std::string::npos);
}
