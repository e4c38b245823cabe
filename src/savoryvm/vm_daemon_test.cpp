#include "simulated_platform.h"
#include "vm_daemon.h"

#include "savorylb/clock.h"

#include <functional>

// Replaces operator new, which the standard headers must not see.
#include <CppUTest/TestHarness.h>

using namespace savorylb;
using namespace savorylb::standin;

namespace {

/// Each test has addresses of its own; closed ones linger.
int NextNet = 10;

struct Rig {
  asio::io_context Io;
  SimulatedPlatform World{Io};
  std::vector<std::unique_ptr<VmDaemon>> Vms;
  int Attempts = 0;

  Rig() { CHECK_TRUE(World.start(NextNet++)); }

  /// Runs until a condition holds.
  /// \returns whether it did in time.
  bool until(const std::function<bool()> &holds, Duration most = Seconds(5)) {
    MonoTime end = monoNow() + most;
    while (!holds() && monoNow() < end) {
      Io.run_for(std::chrono::milliseconds(5));
      Io.restart();
    }
    return holds();
  }

  void addVm(int n, const std::string &zone = "tema-a") {
    Findings findings;
    VmSettings settings =
        readVmSettings("test", World.vmSettings(n, zone), findings);
    LONGS_EQUAL(0, findings.size());
    Vms.push_back(std::make_unique<VmDaemon>(Io, settings, ""));
    CHECK_TRUE(Vms.back()->start());
  }

  bool ready(int n) {
    int status = 0;
    CallerRequest request;
    request.Path = "/readiness";
    callVm(Io, World.readyAddress(n), request,
           [&](const CallerResult &it) { status = it.Status ? it.Status : 1; });
    until([&] { return status != 0; });
    return status == 200;
  }

  void waitReady(int n) {
    CHECK_TRUE(until([&] { return ready(n); }));
  }

  CallerResult call(int n, CallerRequest request) {
    if (request.Attempt.empty())
      request.Attempt = "attempt-" + std::to_string(++Attempts);
    CallerResult result;
    bool done = false;
    callVm(Io, World.callerAddress(n), request, [&](const CallerResult &it) {
      result = it;
      done = true;
    });
    CHECK_TRUE(until([&] { return done; }));
    return result;
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

TEST_GROUP(VmDaemon){};

// Guards against a path that breaks anywhere between caller and target.
TEST(VmDaemon, ServesARequestEndToEnd) {
  Rig rig;
  PlatformTarget &target = rig.World.addTarget("tiles", "tema-a");
  rig.addVm(2);
  rig.waitReady(2);
  CallerRequest request;
  request.Attempt = "a-1";
  CallerResult result = rig.call(2, request);
  LONGS_EQUAL(200, result.Status);
  CHECK_TRUE(result.Signed);
  STRCMP_EQUAL("answer to a-1", result.Body.c_str());
  STRCMP_EQUAL("port", target.LastTeam.c_str());
  LONGS_EQUAL(0, target.KeysSeen);
}

// Guards against a permit that is booked twice because its answer was lost.
TEST(VmDaemon, LostAnswerOfAPermitIsNotRepeated) {
  Rig rig;
  for (int i = 0; i < 3; ++i)
    rig.World.addTarget("permits", "tema-a").Mode = TargetMode::LoseAnswer;
  rig.addVm(2);
  rig.waitReady(2);
  CallerResult result = rig.call(2, permit("p-1"));
  LONGS_EQUAL(502, result.Status);
  LONGS_EQUAL(1, rig.World.runCount("p-1"));
}

// Guards against a tile that is not repeated where it may be.
TEST(VmDaemon, LostAnswerOfATileIsRepeated) {
  Rig rig;
  rig.World.addTarget("tiles", "tema-a");
  rig.World.addTarget("tiles", "tema-a");
  rig.addVm(2);
  rig.waitReady(2);
  for (auto &it : rig.World.Targets) {
    it->Mode = TargetMode::LoseAnswer;
    CallerResult result = rig.call(2, CallerRequest());
    LONGS_EQUAL(200, result.Status);
    it->Mode = TargetMode::Serve;
  }
}

// Guards against a refusal of a request that may have run, and a loss of one
// that another target could have run.
TEST(VmDaemon, ShedRequestGoesOnOrIsRefusedTruly) {
  Rig rig;
  PlatformTarget &first = rig.World.addTarget("permits", "tema-a");
  PlatformTarget &second = rig.World.addTarget("permits", "tema-a");
  rig.addVm(2);
  rig.waitReady(2);
  first.Mode = TargetMode::Shed;
  LONGS_EQUAL(200, rig.call(2, permit("p-1")).Status);
  LONGS_EQUAL(1, rig.World.runCount("p-1"));
  second.Mode = TargetMode::Shed;
  CallerResult result = rig.call(2, permit("p-2"));
  LONGS_EQUAL(503, result.Status);
  CHECK_FALSE(result.RetryAfter.empty());
  LONGS_EQUAL(0, rig.World.runCount("p-2"));
  // Refused at once, not at the deadline.
  CHECK_TRUE(result.Took < Millis(500));
}

// Guards against an answer to another request, or one that is not vouched for.
TEST(VmDaemon, ForeignAnswersAreNotDelivered) {
  Rig rig;
  PlatformTarget &target = rig.World.addTarget("permits", "tema-a");
  rig.addVm(2);
  rig.waitReady(2);
  for (TargetMode it : {TargetMode::WrongAttemptId, TargetMode::Unsigned}) {
    target.Mode = it;
    CallerRequest request = permit("");
    request.Timeout = Millis(400);
    CallerResult result = rig.call(2, request);
    CHECK_TRUE(result.Status == 502 || result.Status == 504);
    CHECK_FALSE(result.Signed);
  }
}

// Guards against a caller that is kept waiting past its deadline, and against
// a 504 that claims that nothing ran.
TEST(VmDaemon, SilentTargetEndsWithATimeout) {
  Rig rig;
  rig.World.addTarget("permits", "tema-a").Mode = TargetMode::Silent;
  rig.addVm(2);
  rig.waitReady(2);
  CallerRequest request = permit("p-1");
  request.Timeout = Millis(600);
  CallerResult result = rig.call(2, request);
  LONGS_EQUAL(504, result.Status);
  CHECK_TRUE(result.Took < Millis(1100));
}

// Guards against work that goes on for a caller who has left.
TEST(VmDaemon, CallerThatLeavesCancelsItsRequest) {
  Rig rig;
  PlatformTarget &target = rig.World.addTarget("tiles", "tema-a");
  target.ServiceTime = Seconds(2);
  rig.addVm(2);
  rig.waitReady(2);
  CallerRequest request;
  request.Attempt = "a-1";
  auto connection = callVm(rig.Io, rig.World.callerAddress(2), request,
                           [](const CallerResult &) {});
  CHECK_TRUE(rig.until([&] { return rig.World.runCount("a-1") == 1; }));
  connection->close();
  CHECK_TRUE(rig.until([&] { return target.Cancelled == 1; }, Millis(500)));
}

// Guards against a withdrawn key that goes on working, and a configuration
// that is lost when the store forgets its history.
TEST(VmDaemon, WithdrawnKeyStopsWorking) {
  Rig rig;
  rig.World.addTarget("tiles", "tema-a");
  rig.addVm(2);
  rig.waitReady(2);
  LONGS_EQUAL(200, rig.call(2, CallerRequest()).Status);
  rig.World.configure({"key-2"});
  rig.World.Store.compactHistory();
  CHECK_TRUE(
      rig.until([&] { return rig.call(2, CallerRequest()).Status == 401; },
                Millis(2500)));
  CallerRequest request;
  request.Key = "key-2";
  LONGS_EQUAL(200, rig.call(2, request).Status);
}

// Guards against an outage of the store that stops the serving of requests,
// and against targets that are dropped because their leases lapsed with it.
TEST(VmDaemon, ServesWhileTheStoreIsAway) {
  Rig rig;
  PlatformTarget &target = rig.World.addTarget("tiles", "tema-a");
  rig.addVm(2);
  rig.waitReady(2);
  StoreFaults faults;
  faults.Busy = true;
  rig.World.Store.setFaults(faults);
  rig.until([] { return false; }, Millis(1500));
  LONGS_EQUAL(200, rig.call(2, CallerRequest()).Status);
  target.removeEntry();
  rig.World.Store.setFaults(StoreFaults());
  rig.until([] { return false; }, Millis(800));
  LONGS_EQUAL(200, rig.call(2, CallerRequest()).Status);
  // Its entry is not back in time; it is gone.
  CHECK_TRUE(
      rig.until([&] { return rig.call(2, CallerRequest()).Status == 503; }));
}

// Guards against a target that keeps getting requests after it said that it
// leaves.
TEST(VmDaemon, DrainingTargetGetsNothingNew) {
  Rig rig;
  PlatformTarget &first = rig.World.addTarget("tiles", "tema-a");
  rig.World.addTarget("tiles", "tema-a");
  rig.addVm(2);
  rig.waitReady(2);
  first.registerEntry("draining");
  rig.until([] { return false; }, Millis(900));
  first.Runs.clear();
  for (int i = 0; i < 20; ++i) {
    CallerRequest request;
    request.AffinityKey = std::to_string(i);
    LONGS_EQUAL(200, rig.call(2, request).Status);
  }
  LONGS_EQUAL(0, first.Runs.size());
}

// Guards against requests for a target whose address another one has now.
TEST(VmDaemon, OtherTargetAtTheAddressRunsNothing) {
  Rig rig;
  PlatformTarget &first = rig.World.addTarget("permits", "tema-a");
  rig.World.addTarget("permits", "tema-a");
  rig.addVm(2);
  rig.waitReady(2);
  first.Mode = TargetMode::Misdirected;
  for (int i = 0; i < 6; ++i) {
    CallerRequest request = permit("p-" + std::to_string(i));
    request.AffinityKey = std::to_string(i);
    LONGS_EQUAL(200, rig.call(2, request).Status);
  }
  LONGS_EQUAL(0, first.Runs.size());
}

// Guards against a VM that knows nothing new when the store serves the others
// and not this one: here its watch is lost with a silent store.
TEST(VmDaemon, VmsHearOfEachOtherAndOfDocuments) {
  Rig rig;
  rig.World.addTarget("tiles", "tema-a");
  rig.addVm(2);
  rig.addVm(3, "tema-b");
  rig.waitReady(2);
  rig.waitReady(3);
  auto named = [&](int n) {
    CallerRequest request;
    request.Path = "/resolve?name=maps.example&region=tema&zone=tema-a";
    std::string body;
    callVm(rig.Io, rig.World.lookupAddress(n), request,
           [&](const CallerResult &it) { body = it.Body + " "; });
    rig.until([&] { return !body.empty(); });
    return body.find(rig.World.callerAddress(2)) != std::string::npos &&
           body.find(rig.World.callerAddress(3)) != std::string::npos;
  };
  CHECK_TRUE(rig.until([&] { return named(2) && named(3); }));
}

// Guards against a VM that answers 404 or 401 before it knows a configuration.
TEST(VmDaemon, IsNotReadyWithoutTheStore) {
  Rig rig;
  StoreFaults faults;
  faults.Silent = true;
  rig.World.Store.setFaults(faults);
  rig.addVm(2);
  CHECK_FALSE(rig.ready(2));
  LONGS_EQUAL(503, rig.call(2, CallerRequest()).Status);
}
