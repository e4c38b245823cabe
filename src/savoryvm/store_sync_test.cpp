#include "platform_store.h"
#include "store_sync.h"

#include "savorylb/clock.h"

// Redefines operator new; must be included after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;
using namespace savorylb::standin;

namespace {

/// The time within which a configuration must be in force.
constexpr Duration ConfigApply = Millis(2500);

/// Lists are 0.4 s apart while the mirror is of an older era than announced.
constexpr Duration ListDue = Millis(1000);

int NextHost = 1;

/// One mirror of a simulated store.
struct SyncFixture {
  asio::io_context Io;
  PlatformStore Store{Io};
  std::string Address = "127.0.201." + std::to_string(NextHost++) + ":8601";
  std::map<std::string, std::string> Seen;
  StoreEra Era;
  /// Called for each document that the mirror takes.
  std::function<void()> OnSeen = [] {};
  std::unique_ptr<StoreSync> Sync;

  /// \param delay how long no watch begins.
  explicit SyncFixture(Duration delay = Duration(0)) {
    CHECK_TRUE(Store.listen(Address));
    Store.put("op/a", "1");
    Sync = std::make_unique<StoreSync>(
        Io, Address, "op/", Millis(2500), Millis(150),
        [this](const auto &changes) {
          for (const platform::StoreItem &it : changes) {
            Seen[it.Key] = it.Value;
            OnSeen();
          }
        },
        [](auto) {});
    Sync->reportEras(
        [this](StoreEra era, EraSource) { Era = std::max(Era, era); });
    Sync->delayWatches(monoNow() + delay);
    Sync->start();
    CHECK_TRUE(waitUntil([&] { return Seen["op/a"] == "1"; }));
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

  /// Lets the mirror wait for an answer that never comes.
  void leaveWatchUnanswered() {
    StoreFaults faults;
    faults.Silent = true;
    Store.setFaults(faults);
    Store.put("op/b", "2"); // Ends the watch in progress.
    CHECK_TRUE(waitUntil([&] { return Seen["op/b"] == "2"; }));
    runFor(Millis(300));
    Store.setFaults(StoreFaults());
  }
};

} // namespace

TEST_GROUP(StoreSync){};

// Guards against a document that is seen late because a watch of the older era
// still waits after a snapshot of a newer era was adopted.
TEST(StoreSync, DocumentAfterAdoptedEraIsLate) {
  SyncFixture fixture;
  fixture.Store.takeCopy();
  fixture.leaveWatchUnanswered();
  fixture.Store.restoreCopy();
  platform::StorePage page;
  page.StoreRevision = {StoreEra(2), Revision(1)};
  fixture.Sync->adopt(page);
  fixture.Store.put("op/c", "3");
  CHECK_TRUE(fixture.waitUntil([&] { return fixture.Seen["op/c"] == "3"; },
                               ConfigApply));
}

// Guards against an announced era that is forgotten when the list fails or is
// of the older era.
TEST(StoreSync, AnnouncedEraIsForgottenAfterAFailedList) {
  SyncFixture fixture;
  fixture.Store.takeCopy();
  fixture.leaveWatchUnanswered();
  fixture.Store.restoreCopy();
  StoreFaults faults;
  faults.Silent = true;
  fixture.Store.setFaults(faults);
  fixture.Sync->enterEra(StoreEra(2));
  fixture.runFor(Millis(500));
  fixture.Store.setFaults(StoreFaults());
  fixture.Store.put("op/c", "3");
  CHECK_TRUE(fixture.waitUntil([&] { return fixture.Seen["op/c"] == "3"; },
                               ConfigApply));
  LONGS_EQUAL(2, fixture.Sync->mirror().KnownRevision.Era.Value);
}

// Guards against an era that is announced during a list, whose answer is of the
// older era, and is then learned only when the next watch has waited.
TEST(StoreSync, EraAnnouncedDuringAListIsForgotten) {
  SyncFixture fixture;
  fixture.Store.takeCopy();
  fixture.leaveWatchUnanswered();
  // Nothing announces the document, so only a list shows it.
  fixture.Store.put("op/late", "1");
  StoreFaults faults;
  faults.Delay = Millis(200);
  fixture.Store.setFaults(faults);
  bool restored = false;
  fixture.OnSeen = [&] {
    if (restored || fixture.Seen["op/late"].empty())
      return;
    // The answer of the older era has arrived; no watch waits yet.
    restored = true;
    fixture.Store.setFaults(StoreFaults());
    fixture.Store.restoreCopy();
    fixture.Store.restoreCopy();
    fixture.Store.put("op/c", "3");
    for (int i = 0; i < 20; ++i)
      fixture.Store.put("servers/a", std::to_string(i));
  };
  fixture.Sync->enterEra(StoreEra(2));
  fixture.runFor(Millis(100));
  fixture.Sync->enterEra(StoreEra(3));
  CHECK_TRUE(fixture.waitUntil([&] { return restored; }, Millis(500)));
  CHECK_TRUE(
      fixture.waitUntil([&] { return fixture.Seen["op/c"] == "3"; }, ListDue));
}

// Guards against lists without end when an announced era is wrong.
TEST(StoreSync, WrongEraKeepsTheMirrorListing) {
  SyncFixture fixture;
  fixture.Sync->enterEra(StoreEra(7));
  fixture.runFor(Millis(1000));
  std::int64_t calls = fixture.Store.calls();
  fixture.runFor(Millis(1500));
  CHECK_TRUE(fixture.Store.calls() - calls <= 2);
  fixture.Store.put("op/c", "3");
  CHECK_TRUE(fixture.waitUntil([&] { return fixture.Seen["op/c"] == "3"; },
                               ConfigApply));
}

// Guards against a mirror that asks again and again for changes that are too
// large for one response, and learns nothing else meanwhile.
TEST(StoreSync, LargeChangesHideLaterOnes) {
  SyncFixture fixture;
  // The first change ends the watch; the others are in the next response.
  for (int i = 0; i < 10; ++i)
    fixture.Store.put("op/large-" + std::to_string(i),
                      std::string(1 << 20, 'x'));
  fixture.Store.put("op/b", "2");
  CHECK_TRUE(fixture.waitUntil([&] { return fixture.Seen["op/b"] == "2"; },
                               ConfigApply));
  fixture.Store.put("op/c", "3");
  CHECK_TRUE(fixture.waitUntil([&] { return fixture.Seen["op/c"] == "3"; },
                               ConfigApply));
}

// Guards against VMs that all watch the store when they start, as they do not
// know the VM yet that they will follow.
TEST(StoreSync, WatchBeginsBeforeTheOtherVmsAreKnown) {
  SyncFixture fixture(Millis(600));
  fixture.runFor(Millis(300));
  LONGS_EQUAL(1, fixture.Store.calls());
  fixture.Sync->beginWatches();
  fixture.runFor(Millis(100));
  LONGS_EQUAL(2, fixture.Store.calls());
}

// Guards against a mirror that is never updated if the other VMs are not found.
TEST(StoreSync, DelayedWatchNeverBegins) {
  SyncFixture fixture(Millis(600));
  fixture.Store.put("op/b", "2");
  CHECK_TRUE(fixture.waitUntil([&] { return fixture.Seen["op/b"] == "2"; },
                               Millis(1000)));
}

// Guards against a second watch that begins beside the first one.
TEST(StoreSync, WatchIsRepeatedWhenItsDelayEndsTwice) {
  SyncFixture fixture(Millis(300));
  fixture.Sync->beginWatches();
  fixture.Sync->beginWatches();
  fixture.runFor(Millis(600));
  LONGS_EQUAL(2, fixture.Store.calls());
}
