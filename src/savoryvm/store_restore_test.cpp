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
