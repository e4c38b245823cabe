#include "platform_store.h"
#include "vm_registration.h"

#include "savorylb/clock.h"

// Redefines operator new; must be included after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;
using namespace savorylb::standin;

namespace {

/// Shorter than the time until a lease that is not renewed expires.
constexpr Duration AtOnce = Millis(500);

int NextHost = 1;

/// A VM that registers in a simulated store.
struct RegistrationFixture {
  asio::io_context Io;
  PlatformStore Store{Io};
  std::string Address = "127.0.202." + std::to_string(NextHost++) + ":8601";
  std::string Key = "status/vm/a";
  std::unique_ptr<VmRegistration> Vm;

  RegistrationFixture() {
    CHECK_TRUE(Store.listen(Address));
    Vm = std::make_unique<VmRegistration>(Io, Address, Key, "a", Millis(0));
    Vm->reportEras([](StoreEra) {});
  }

  bool waitUntil(const std::function<bool()> &condition,
                 Duration timeout = Seconds(5)) {
    MonoTime end = monoNow() + timeout;
    while (!condition() && monoNow() < end) {
      Io.run_for(std::chrono::milliseconds(5));
      Io.restart();
    }
    return condition();
  }

  void runFor(Duration time) {
    waitUntil([] { return false; }, time);
  }

  void registerVm() {
    Vm->start();
    CHECK_TRUE(waitUntil([&] { return registered(); }));
    runFor(Millis(50)); // The response is on its way.
  }

  bool registered() const { return !Store.get(Key).empty(); }

  /// Registers another VM with the next lease that the store grants.
  void registerOther(const std::string &key) {
    HttpChannel channel(Io.get_executor(), Address);
    platform::StorePut put;
    put.Key = key;
    put.Value = "b";
    channel.call(platform::grantLeaseRequest(Seconds(60)), Seconds(1),
                 [&](const Result<HttpMessage> &response) {
                   put.Lease = platform::readLease(response.value()).value().Id;
                   channel.call(platform::putRequest(put), Seconds(1),
                                [](const Result<HttpMessage> &) {});
                 });
    CHECK_TRUE(waitUntil([&] { return !Store.get(key).empty(); }));
  }
};

} // namespace

TEST_GROUP(VmRegistration){};

// Guards against a wrong era that ends the registration and the writes for
// good.
TEST(VmRegistration, AnnouncedEraThatTheStoreDoesNotHaveEndsTheRegistration) {
  RegistrationFixture fixture;
  fixture.registerVm();
  fixture.Vm->enterEra(StoreEra(7));
  platform::StorePut put;
  put.Key = "status/rollout/tiles";
  put.Value = "{}";
  put.ExpectedRevision.Era = StoreEra(1);
  fixture.Vm->write(put);
  CHECK_TRUE(fixture.waitUntil(
      [&] { return !fixture.Store.get(put.Key).empty(); }, AtOnce));
  CHECK_FALSE(
      fixture.waitUntil([&] { return !fixture.registered(); }, Millis(3500)));
}

// Guards against waiting for the next renewal when another VM announces an era.
TEST(VmRegistration, AnnouncedEraIsAskedForLate) {
  RegistrationFixture fixture;
  fixture.Store.takeCopy();
  fixture.registerVm();
  fixture.Store.restoreCopy();
  fixture.Vm->enterEra(StoreEra(2));
  CHECK_TRUE(
      fixture.waitUntil([&] { return fixture.registered(); }, Millis(400)));
}

// Guards against a write that was computed in the older era and is sent before
// the store confirms the announced one.
TEST(VmRegistration, WriteOfTheOlderEraIsSentAfterAnAnnouncement) {
  RegistrationFixture fixture;
  fixture.Store.takeCopy();
  fixture.registerVm();
  fixture.Store.restoreCopy();
  fixture.Vm->enterEra(StoreEra(2));
  platform::StorePut put;
  put.Key = "status/rollout/tiles";
  put.Value = "{}";
  put.ExpectedRevision.Era = StoreEra(1);
  fixture.Vm->write(put);
  CHECK_TRUE(fixture.waitUntil([&] { return fixture.registered(); }));
  fixture.runFor(AtOnce);
  STRCMP_EQUAL("", fixture.Store.get(put.Key).c_str());
}

// Guards against ending a lease that a restored store has given to another VM.
TEST(VmRegistration, StopEndsTheLeaseOfAnotherVm) {
  RegistrationFixture fixture;
  fixture.Store.takeCopy();
  fixture.registerVm();
  fixture.Store.restoreCopy();
  fixture.registerOther("status/vm/b");
  fixture.Vm->stop();
  fixture.runFor(AtOnce);
  STRCMP_EQUAL("b", fixture.Store.get("status/vm/b").c_str());
}

// Guards against an entry that stays until the lease expires.
TEST(VmRegistration, StoppedVmStaysRegistered) {
  RegistrationFixture fixture;
  fixture.registerVm();
  fixture.Vm->stop();
  CHECK_TRUE(fixture.waitUntil([&] { return !fixture.registered(); }, AtOnce));
}

// Guards against an entry that stays because the response to its write was
// lost.
TEST(VmRegistration, UnconfirmedEntryStaysAfterAStop) {
  RegistrationFixture fixture;
  StoreFaults faults;
  faults.Delay = Millis(100);
  fixture.Store.setFaults(faults);
  fixture.Vm->start();
  CHECK_TRUE(fixture.waitUntil([&] { return fixture.Store.calls() == 2; }));
  faults.DropResponses = true;
  fixture.Store.setFaults(faults);
  CHECK_TRUE(fixture.waitUntil([&] { return fixture.registered(); }));
  fixture.Store.setFaults(StoreFaults());
  fixture.Vm->stop();
  CHECK_TRUE(fixture.waitUntil([&] { return !fixture.registered(); }, AtOnce));
}

// Guards against an entry that stays because a restored store shows an earlier
// write of it.
TEST(VmRegistration, EarlierEntryOfTheCopyStaysAfterAStop) {
  RegistrationFixture fixture;
  fixture.registerVm();
  fixture.Store.takeCopy();
  StoreFaults faults;
  faults.Busy = true;
  faults.ExpireLeases = true;
  fixture.Store.setFaults(faults);
  CHECK_TRUE(fixture.waitUntil([&] { return !fixture.registered(); }));
  fixture.Store.setFaults(StoreFaults());
  CHECK_TRUE(fixture.waitUntil([&] { return fixture.registered(); }));
  fixture.runFor(Millis(50));
  fixture.Store.restoreCopy();
  CHECK_TRUE(fixture.registered());
  fixture.Vm->stop();
  CHECK_TRUE(fixture.waitUntil([&] { return !fixture.registered(); }, AtOnce));
}

// Guards against removing the entry of the process that replaces this one.
TEST(VmRegistration, StopRemovesTheEntryOfTheNextProcess) {
  RegistrationFixture fixture;
  fixture.registerVm();
  fixture.Store.put(fixture.Key, "next");
  fixture.Vm->stop();
  fixture.runFor(AtOnce);
  STRCMP_EQUAL("next", fixture.Store.get(fixture.Key).c_str());
}
