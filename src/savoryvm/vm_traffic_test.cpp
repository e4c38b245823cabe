#include "savorylb/metrics.h"
#include "vm_fixture.h"

using namespace savorylb;
using namespace savorylb::standin;

namespace {

/// Keys of a configuration that is much larger than one packet.
constexpr int KeyCount = 500;

/// Counters of calls to the store, by kind.
struct StoreCalls {
  std::int64_t Lists = counterValue("store_calls_list");
  std::int64_t Watches = counterValue("store_calls_watch");
  std::int64_t Renewals = counterValue("store_calls_renewal");
  std::int64_t Leases = counterValue("store_calls_lease");
  std::int64_t Writes = counterValue("store_calls_write");

  std::int64_t sum() const {
    return Lists + Watches + Renewals + Leases + Writes;
  }
};

} // namespace

TEST_GROUP(VmTraffic){};

// Guards against calls to the store that no counter shows.
TEST(VmTraffic, StoreCallsAreNotCounted) {
  StoreCalls before;
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  fixture.waitUntil([] { return false; }, Seconds(3));
  StoreCalls after;
  LONGS_EQUAL(fixture.Platform.Store.calls(), after.sum() - before.sum());
  // One for each of three prefixes, and one of VMs after the registration.
  LONGS_EQUAL(4, after.Lists - before.Lists);
  LONGS_EQUAL(1, after.Leases - before.Leases);
  LONGS_EQUAL(1, after.Writes - before.Writes);
  CHECK_TRUE(after.Renewals - before.Renewals >= 2);
  CHECK_TRUE(after.Watches - before.Watches >= 3);
}

// Guards against requests to another zone that no counter shows, and against
// counting those that stay in the zone.
TEST(VmTraffic, RequestsThatLeaveTheZoneAreNotCounted) {
  for (const char *zone : {"tema-a", "tema-b"}) {
    bool leaves = std::string(zone) == "tema-b";
    VmFixture fixture;
    fixture.Platform.addTarget("permits", zone);
    fixture.addVm(2);
    fixture.waitReady(2);
    std::int64_t sent = counterValue("zone_bytes_request");
    std::int64_t received = counterValue("zone_bytes_response");
    CallerRequest request = permitRequest(std::string("p-") + zone);
    request.Body = std::string(5000, 'x');
    CallerResult result = fixture.call(2, request);
    LONGS_EQUAL(200, result.Status);
    sent = counterValue("zone_bytes_request") - sent;
    received = counterValue("zone_bytes_response") - received;
    CHECK_EQUAL(leaves, sent > 5000);
    CHECK_TRUE(sent < 6000);
    LONGS_EQUAL(leaves ? result.Body.size() : 0, received);
  }
}

// Guards against documents and reports of other zones that no counter shows.
TEST(VmTraffic, MessagesBetweenZonesAreNotCounted) {
  std::int64_t documents = counterValue("zone_bytes_documents");
  std::int64_t reports = counterValue("zone_bytes_report");
  VmFixture fixture;
  fixture.addVm(2, "tema-a");
  fixture.addVm(3, "tema-b");
  CHECK_TRUE(fixture.waitUntil([&] {
    return counterValue("zone_bytes_documents") > documents &&
           counterValue("zone_bytes_report") > reports;
  }));
}

// Guards against documents that take the link of a followed VM, as they are
// sent to each of its followers.
TEST(VmTraffic, DocumentsAreSentUncompressed) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2, "tema-a");
  fixture.addVm(3, "tema-b");
  // One VM finds the other, and begins to follow it.
  fixture.runFor(Seconds(4));
  std::int64_t sent = counterValue("zone_bytes_documents");
  std::vector<std::string> keys;
  keys.reserve(KeyCount);
  for (int i = 0; i < KeyCount; ++i)
    keys.push_back("key-of-team-" + std::to_string(i));
  fixture.Platform.configure(keys);
  auto size =
      static_cast<std::int64_t>(fixture.Platform.Store.get("op/config").size());
  fixture.runFor(Seconds(2));
  sent = counterValue("zone_bytes_documents") - sent;
  CHECK_TRUE(sent > 0);
  CHECK_TRUE(sent < size / 2);
}
