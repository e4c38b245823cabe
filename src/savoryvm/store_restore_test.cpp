#include "vm_fixture.h"

using namespace savorylb;
using namespace savorylb::standin;

namespace {

/// The time within which a configuration must be in force.
constexpr Duration ConfigApply = Millis(2500);

void runFor(VmFixture &fixture, Duration time) {
  fixture.waitUntil([] { return false; }, time);
}

/// Makes the store lose what was written after its copy while it is unavailable
/// for a moment.
/// \param restored called after the restore, before the store answers again.
void loseWrites(VmFixture &fixture, const std::function<void()> &restored) {
  StoreFaults faults;
  faults.Busy = true;
  fixture.Platform.Store.setFaults(faults);
  runFor(fixture, Millis(300));
  fixture.Platform.Store.restoreCopy();
  restored();
  fixture.Platform.Store.setFaults(StoreFaults());
}

void writeOthers(VmFixture &fixture, int count) {
  for (int i = 0; i < count; ++i)
    fixture.Platform.Store.put("op/other", std::to_string(i));
}

/// Starts two VMs of one region, of which one follows the other's mirrors.
void startTwoVms(VmFixture &fixture) {
  fixture.addVm(2);
  fixture.addVm(3);
  fixture.waitReady(2);
  fixture.waitReady(3);
  // Reports are sent every second.
  runFor(fixture, Millis(1500));
}

bool allReject(VmFixture &fixture) {
  return fixture.call(2, CallerRequest()).Status == 401 &&
         fixture.call(3, CallerRequest()).Status == 401;
}

bool namesBothVms(VmFixture &fixture, int n) {
  CallerRequest request;
  request.Path = "/resolve?name=maps.example&region=tema&zone=tema-a";
  std::string body;
  callVm(fixture.Io, fixture.Platform.lookupAddress(n), request,
         [&](const CallerResult &it) { body = it.Body + " "; });
  fixture.waitUntil([&] { return !body.empty(); });
  return body.find(fixture.Platform.callerAddress(2)) != std::string::npos &&
         body.find(fixture.Platform.callerAddress(3)) != std::string::npos;
}

/// Sends requests for different objects.
/// \returns how many of them the target ran.
std::size_t runsAt(VmFixture &fixture, PlatformTarget &target, int requests) {
  target.Runs.clear();
  for (int i = 0; i < requests; ++i) {
    CallerRequest request;
    request.AffinityKey = std::to_string(++fixture.Attempts);
    LONGS_EQUAL(200, fixture.call(2, request).Status);
  }
  return target.Runs.size();
}

/// Starts a VM, and evacuates a zone after the store has copied its items.
/// \returns a target of that zone.
PlatformTarget &evacuateAfterCopy(VmFixture &fixture) {
  PlatformTarget &target = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.Platform.addTarget("tiles", "tema-b");
  fixture.addVm(2);
  fixture.waitReady(2);
  CHECK_TRUE(runsAt(fixture, target, 20) > 0);
  fixture.Platform.Store.takeCopy();
  fixture.Platform.Store.put("op/evacuate/tema-a", "{}");
  runFor(fixture, Millis(1000));
  LONGS_EQUAL(0, runsAt(fixture, target, 20));
  return target;
}

void writeOrder(VmFixture &fixture, const std::string &version) {
  fixture.Platform.Store.put("op/rollout/tiles",
                             R"({"service":"tiles","targetVersion":")" +
                                 version + R"(","duration":"3s"})");
}

bool statusIs(VmFixture &fixture, const std::string &state) {
  return fixture.Platform.Store.get("status/rollout/tiles").find(state) !=
         std::string::npos;
}

} // namespace

TEST_GROUP(StoreRestore){};

// Guards against ignoring a configuration with a lower revision than before.
TEST(StoreRestore, ConfigurationWithLowerRevisionIsInForce) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  startTwoVms(fixture);
  fixture.Platform.Store.takeCopy();
  writeOthers(fixture, 50);
  fixture.Platform.configure({"key-1", "key-3"});
  runFor(fixture, Millis(500));
  loseWrites(fixture, [] {});
  fixture.Platform.configure({"key-2"});
  CHECK_TRUE(
      fixture.waitUntil([&] { return allReject(fixture); }, ConfigApply));
}

// Guards against missing a configuration when a watch gets no 410.
TEST(StoreRestore, ConfigurationBelowPassedRevisionIsInForce) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  startTwoVms(fixture);
  fixture.Platform.Store.takeCopy();
  writeOthers(fixture, 10);
  runFor(fixture, Millis(500));
  loseWrites(fixture, [&] {
    fixture.Platform.configure({"key-2"});
    writeOthers(fixture, 50);
  });
  CHECK_TRUE(
      fixture.waitUntil([&] { return allReject(fixture); }, ConfigApply));
}

// Guards against returning to an older configuration, also on a new VM.
TEST(StoreRestore, OlderConfigurationIsNotUsed) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  fixture.Platform.Store.takeCopy();
  fixture.Platform.configure({"key-2"});
  CHECK_TRUE(fixture.waitUntil(
      [&] { return fixture.call(2, CallerRequest()).Status == 401; },
      ConfigApply));
  loseWrites(fixture, [] {});
  fixture.addVm(3);
  CHECK_TRUE(fixture.waitUntil(
      [&] { return fixture.call(3, CallerRequest()).Status == 401; },
      ConfigApply));
  LONGS_EQUAL(401, fixture.call(2, CallerRequest()).Status);
}

// Guards against sending to an evacuated zone that the copy does not show.
TEST(StoreRestore, LostEvacuationHoldsUntilItIsWrittenAgain) {
  VmFixture fixture;
  PlatformTarget &target = evacuateAfterCopy(fixture);
  loseWrites(fixture, [] {});
  runFor(fixture, Millis(2000));
  LONGS_EQUAL(0, runsAt(fixture, target, 20));
  fixture.Platform.Store.put("op/evacuate/tema-a", "{}");
  runFor(fixture, Millis(3500));
  LONGS_EQUAL(0, runsAt(fixture, target, 20));
  fixture.Platform.Store.remove("op/evacuate/tema-a");
  // The zone's targets are cold for 3 s.
  CHECK_TRUE(
      fixture.waitUntil([&] { return runsAt(fixture, target, 20) > 0; }));
}

// Guards against ending an evacuation that the operator writes again only after
// a second restore.
TEST(StoreRestore, SecondRestoreEndsALostEvacuation) {
  VmFixture fixture;
  PlatformTarget &target = evacuateAfterCopy(fixture);
  loseWrites(fixture, [] {});
  runFor(fixture, Millis(2500));
  loseWrites(fixture, [] {});
  // The operator writes lost documents again within 3 s.
  for (int i = 0; i < 5; ++i) {
    runFor(fixture, Millis(500));
    LONGS_EQUAL(0, runsAt(fixture, target, 20));
  }
  fixture.Platform.Store.put("op/evacuate/tema-a", "{}");
  runFor(fixture, Millis(2500));
  LONGS_EQUAL(0, runsAt(fixture, target, 20));
}

// Guards against using a target that drains or has left by its older entry.
TEST(StoreRestore, DrainedAndRemovedTargetsAreNotUsed) {
  VmFixture fixture;
  PlatformTarget &drained = fixture.Platform.addTarget("tiles", "tema-a");
  PlatformTarget &removed = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  CHECK_TRUE(runsAt(fixture, drained, 20) > 0);
  CHECK_TRUE(runsAt(fixture, removed, 20) > 0);
  fixture.Platform.Store.takeCopy();
  drained.registerEntry("draining");
  removed.removeEntry();
  runFor(fixture, Millis(1500));
  LONGS_EQUAL(0, runsAt(fixture, drained, 20));
  LONGS_EQUAL(0, runsAt(fixture, removed, 20));
  loseWrites(fixture, [] {});
  runFor(fixture, Millis(1500));
  LONGS_EQUAL(0, runsAt(fixture, drained, 20));
  LONGS_EQUAL(0, runsAt(fixture, removed, 20));
  // A newer entry of the same start is taken.
  removed.registerEntry();
  removed.registerEntry();
  CHECK_TRUE(fixture.waitUntil([&] { return runsAt(fixture, removed, 20) > 0; },
                               Millis(1500)));
}

// Guards against dropping a live target that the copy lacks.
TEST(StoreRestore, TargetMissingFromTheCopyIsKeptForAWhile) {
  VmFixture fixture;
  fixture.addVm(2);
  fixture.Platform.Store.takeCopy();
  PlatformTarget &target = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.waitReady(2);
  CHECK_TRUE(fixture.waitUntil(
      [&] { return fixture.call(2, CallerRequest()).Status == 200; }));
  loseWrites(fixture, [] {});
  runFor(fixture, Millis(1800));
  LONGS_EQUAL(200, fixture.call(2, CallerRequest()).Status);
  target.registerEntry();
  runFor(fixture, Millis(2500));
  LONGS_EQUAL(200, fixture.call(2, CallerRequest()).Status);
}

// Guards against running a completed rollout again.
TEST(StoreRestore, CompletedRolloutIsNotRunAgain) {
  VmFixture fixture;
  PlatformTarget &old = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  fixture.Platform.addTarget("tiles", "tema-a", "v2");
  runFor(fixture, Millis(1000));
  writeOrder(fixture, "v2");
  CHECK_TRUE(fixture.waitUntil([&] { return statusIs(fixture, "running"); }));
  fixture.Platform.Store.takeCopy();
  CHECK_TRUE(fixture.waitUntil([&] { return statusIs(fixture, "completed"); }));
  runFor(fixture, Millis(2000));
  LONGS_EQUAL(0, runsAt(fixture, old, 10));
  loseWrites(fixture, [] {});
  writeOrder(fixture, "v2");
  for (int i = 0; i < 10; ++i) {
    LONGS_EQUAL(0, runsAt(fixture, old, 10));
    runFor(fixture, Millis(200));
  }
  CHECK_TRUE(fixture.waitUntil([&] { return statusIs(fixture, "completed"); },
                               Millis(1500)));
}

// Guards against forgetting a rollout whose order and status the copy lacks.
TEST(StoreRestore, LostRolloutGoesOn) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  fixture.Platform.addTarget("tiles", "tema-a", "v2");
  runFor(fixture, Millis(1000));
  fixture.Platform.Store.takeCopy();
  writeOrder(fixture, "v2");
  MonoTime orderedAt = monoNow();
  CHECK_TRUE(fixture.waitUntil([&] { return statusIs(fixture, "running"); }));
  runFor(fixture, Millis(500));
  loseWrites(fixture, [] {});
  runFor(fixture, Millis(1000));
  writeOrder(fixture, "v2");
  CHECK_TRUE(fixture.waitUntil([&] { return statusIs(fixture, "completed"); }));
  // A rollout whose clock starts again would take 2.6 s from here.
  CHECK_TRUE(monoNow() - orderedAt < Millis(4200));
}

// Guards against a VM without an entry that renews a lease of another's.
TEST(StoreRestore, VmsRegisterAgain) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.Platform.Store.takeCopy();
  startTwoVms(fixture);
  CHECK_TRUE(fixture.waitUntil(
      [&] { return namesBothVms(fixture, 2) && namesBothVms(fixture, 3); }));
  // Another client is granted the ids of the lost leases.
  HttpChannel other(fixture.Io.get_executor(), fixture.Platform.storeAddress());
  int granted = 0;
  loseWrites(fixture, [] {});
  std::function<void(const Result<HttpMessage> &)> grantNext;
  grantNext = [&](const Result<HttpMessage> &) {
    if (++granted <= 3)
      other.call(platform::grantLeaseRequest(Seconds(60)), Seconds(1),
                 grantNext);
  };
  grantNext(HttpMessage());
  auto registered = [&] {
    return !fixture.Platform.Store.get("status/vm/vm-2").empty() &&
           !fixture.Platform.Store.get("status/vm/vm-3").empty();
  };
  CHECK_TRUE(fixture.waitUntil(registered, Millis(1500)));
  LONGS_EQUAL(4, granted);
  for (int i = 0; i < 20; ++i) {
    runFor(fixture, Millis(150));
    CHECK_TRUE(registered());
    CHECK_TRUE(namesBothVms(fixture, 2) && namesBothVms(fixture, 3));
  }
}

// Guards against a wrong era in another VM's request that keeps this VM from
// registering and from writing statuses.
TEST(StoreRestore, WrongEraOfAnotherVmEndsTheRegistration) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  fixture.Platform.addTarget("tiles", "tema-a", "v2");
  HttpChannel other(fixture.Io.get_executor(), fixture.Platform.peerAddress(2));
  HttpMessage request;
  request.Method = "GET";
  request.Path = "/news/900@7/op/";
  other.call(request, Seconds(2), [](const Result<HttpMessage> &) {});
  runFor(fixture, Millis(500));
  writeOrder(fixture, "v2");
  CHECK_FALSE(fixture.waitUntil(
      [&] { return fixture.Platform.Store.get("status/vm/vm-2").empty(); },
      Millis(3500)));
  CHECK_TRUE(statusIs(fixture, "running") || statusIs(fixture, "completed"));
}

// Guards against delaying an order of the new era whose revision is below that
// of the order before the restore.
TEST(StoreRestore, NewOrderWithLowerRevisionIsDelayed) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  fixture.Platform.addTarget("tiles", "tema-a", "v2");
  fixture.Platform.addTarget("tiles", "tema-a", "v3");
  runFor(fixture, Millis(1000));
  fixture.Platform.Store.takeCopy();
  writeOthers(fixture, 20);
  runFor(fixture, Millis(500));
  writeOrder(fixture, "v2");
  CHECK_TRUE(fixture.waitUntil([&] { return statusIs(fixture, "v2"); }));
  loseWrites(fixture, [&] { writeOrder(fixture, "v3"); });
  CHECK_TRUE(
      fixture.waitUntil([&] { return statusIs(fixture, "v3"); }, Millis(2500)));
}

// Guards against running an order that the copy shows and that was replaced in
// the lost seconds.
TEST(StoreRestore, OrderOfTheCopyIsRun) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  fixture.Platform.addTarget("tiles", "tema-a", "v2");
  fixture.Platform.addTarget("tiles", "tema-a", "v3");
  runFor(fixture, Millis(1000));
  writeOrder(fixture, "v2");
  CHECK_TRUE(fixture.waitUntil([&] { return statusIs(fixture, "v2"); }));
  fixture.Platform.Store.takeCopy();
  writeOthers(fixture, 20);
  runFor(fixture, Millis(500));
  writeOrder(fixture, "v3");
  MonoTime orderedAt = monoNow();
  CHECK_TRUE(fixture.waitUntil([&] { return statusIs(fixture, "v3"); }));
  loseWrites(fixture, [] {});
  runFor(fixture, Millis(1000));
  writeOrder(fixture, "v3");
  CHECK_TRUE(fixture.waitUntil([&] {
    return statusIs(fixture, "v3") && statusIs(fixture, "completed");
  }));
  // A rollout whose clock starts again would take 2.6 s from here.
  CHECK_TRUE(monoNow() - orderedAt < Millis(4200));
}
