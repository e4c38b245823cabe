#include "vm_fixture.h"

using namespace savorylb;
using namespace savorylb::standin;

namespace {

/// Two VMs, and a third that starts while the store does not answer. It knows
/// as little as one that starts again.
struct RestartFixture : VmFixture {
  RestartFixture() {
    for (int i = 0; i < 2; ++i)
      Platform.addTarget("tiles", "tema-a");
    addVm(2);
    addVm(3);
    waitReady(2);
    waitReady(3);
    Platform.Store.put("status/vm/vm-4", earlierEntry());
    runFor(Millis(1500)); // Reports are sent every second.
  }

  /// \returns the entry that the third VM wrote before it ended.
  std::string earlierEntry() const {
    std::string entry = Platform.Store.get("status/vm/vm-3");
    for (std::size_t at = entry.find(".3:"); at != std::string::npos;
         at = entry.find(".3:"))
      entry[at + 1] = '4';
    entry.replace(entry.find("vm-3"), 4, "vm-4");
    return entry;
  }

  void runFor(Duration time) {
    waitUntil([] { return false; }, time);
  }

  void startThirdWithoutStore() {
    StoreFaults faults;
    faults.Busy = true;
    Platform.Store.setFaults(faults);
    runFor(Millis(300));
    addVm(4);
  }
};

} // namespace

TEST_GROUP(VmRestart){};

// Guards against accepting a withdrawn key after a restart, when the store does
// not answer and only another VM knows the configuration.
TEST(VmRestart, WithdrawnKeyIsAcceptedAfterRestart) {
  RestartFixture fixture;
  fixture.Platform.configure({"key-2"});
  CHECK_TRUE(fixture.waitUntil([&] {
    return fixture.call(2, CallerRequest()).Status == 401 &&
           fixture.call(3, CallerRequest()).Status == 401;
  }));
  fixture.startThirdWithoutStore();
  MonoTime end = monoNow() + Seconds(4);
  int status = 0;
  while (monoNow() < end) {
    status = fixture.call(4, CallerRequest()).Status;
    CHECK_TRUE(status == 503 || status == 401);
    fixture.runFor(Millis(50));
  }
  LONGS_EQUAL(401, status);
}

// Guards against using a target that had left after a restart, when the store
// does not answer.
TEST(VmRestart, DepartedTargetIsUsedAfterRestart) {
  RestartFixture fixture;
  PlatformTarget &departed = *fixture.Platform.Targets.front();
  departed.registerEntry("draining");
  fixture.runFor(Millis(900));
  departed.removeEntry();
  fixture.runFor(Millis(1500));
  fixture.startThirdWithoutStore();
  departed.Received = 0;
  MonoTime end = monoNow() + Seconds(4);
  int status = 0;
  for (int i = 0; monoNow() < end; ++i) {
    CallerRequest request;
    request.AffinityKey = std::to_string(i);
    status = fixture.call(4, request).Status;
    CHECK_TRUE(status == 503 || status == 200);
    fixture.runFor(Millis(20));
  }
  LONGS_EQUAL(200, status);
  LONGS_EQUAL(0, departed.Received);
}

// Guards against giving up a request, or running it again, when its target's
// entry expires while the target works on it.
TEST(VmRestart, ExpiredEntryEndsRunningRequest) {
  VmFixture fixture;
  PlatformTarget &silent = fixture.Platform.addTarget("permits", "tema-a");
  silent.ServiceTime = Millis(1800);
  fixture.addVm(2);
  fixture.waitReady(2);
  int status = 0;
  callVm(fixture.Io, fixture.Platform.callerAddress(2), permitRequest("p-1"),
         [&](const CallerResult &it) { status = it.Status; });
  CHECK_TRUE(
      fixture.waitUntil([&] { return fixture.Platform.runCount("p-1") == 1; }));
  PlatformTarget &other = fixture.Platform.addTarget("permits", "tema-a");
  silent.removeEntry();
  CHECK_TRUE(fixture.waitUntil([&] { return status != 0; }));
  LONGS_EQUAL(200, status);
  LONGS_EQUAL(1, fixture.Platform.runCount("p-1"));
  LONGS_EQUAL(0, other.Received);
}
