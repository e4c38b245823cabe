// Plays failed requests against the daemon as a process and finds their causes
// in its log alone, as docs/OPERATIONS.md tells.
#include "platform_world.h"
#include "request_story.h"
#include "vm_process.h"

#include "savorylb/clock.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>

// Replaces operator new, which the standard headers must not see.
#include <CppUTest/TestHarness.h>

using namespace savorylb;
using namespace savorylb::standin;

namespace {

/// Addresses are 127.0.98.x; other tests use other ones.
constexpr int Net = 98;
/// The daemon writes its log every 100 ms.
constexpr Duration LogDelay = Millis(400);

struct Walk {
  asio::io_context Io;
  PlatformWorld World{Io};
  std::string Folder =
      (std::filesystem::temp_directory_path() / "savory-explain-walk").string();
  std::string Log = Folder + "/vm-2.log";
  std::unique_ptr<soak::VmProcess> Vm;

  Walk() {
    std::filesystem::remove_all(Folder);
    std::filesystem::create_directories(Folder);
    CHECK_TRUE(World.start(Net));
  }

  void runFor(Duration span) {
    Io.run_for(std::chrono::microseconds(span.count()));
    Io.restart();
  }

  CallerResult call(const CallerRequest &request) {
    CallerResult result;
    bool done = false;
    callVm(Io, World.callerAddress(2), request, [&](const CallerResult &it) {
      result = it;
      done = true;
    });
    MonoTime end = monoNow() + Seconds(8);
    while (!done && monoNow() < end)
      runFor(Millis(5));
    return result;
  }

  /// Starts the daemon and waits until it serves.
  void start() {
    std::string settings = Folder + "/vm-2.json";
    std::ofstream(settings) << World.vmSettings(2, "tema-a");
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
    RequestStory story = tellRequest(log, attempt);
    if (story.Cause.find(part) == std::string::npos)
      FAIL(("no \"" + std::string(part) + "\" in: " + story.Cause).c_str());
  }
};

CallerRequest permit(const std::string &attempt) {
  CallerRequest request;
  request.Method = "POST";
  request.Path = "/permits/1";
  request.Body = "zone 7";
  request.Attempt = attempt;
  return request;
}

} // namespace

TEST_GROUP(ExplainWalk){};

// Guards against refusals, lost answers and silent targets whose cause the log
// does not tell.
TEST(ExplainWalk, FindsTheCauseInTheLogAlone) {
  Walk walk;
  walk.World.addTarget("tiles", "tema-a");
  PlatformTarget &permits = walk.World.addTarget("permits", "tema-a");
  walk.start();

  permits.Mode = TargetMode::Shed;
  LONGS_EQUAL(503, walk.call(permit("p-shed")).Status);
  walk.checkCause("p-shed", "refused it without running it");

  permits.Mode = TargetMode::LoseAnswer;
  LONGS_EQUAL(502, walk.call(permit("p-lost")).Status);
  walk.checkCause("p-lost", "stayed in the store, so the answer was lost");

  permits.Mode = TargetMode::Silent;
  LONGS_EQUAL(504, walk.call(permit("p-late")).Status);
  walk.checkCause("p-late", "was slow or silent");
}
