#include "vm_brief.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr MonoTime Now{Seconds(100)};

VmView makeView() {
  VmView view;
  view.Name = VmId("vm-1");
  view.VmIncarnation = Incarnation("a1");
  view.Zone = ZoneId("zone-0");
  view.AsOf = MonoTime(Millis(99'900));
  view.StoreContactAt = MonoTime(Millis(98'500));
  view.StoreContact = true;
  view.Loads[{ServiceId("tiles"), VersionId("v1")}] = {3, 8, 1};
  view.Tokens[TeamId("pilots")] = MicroTokens(5'700'000);
  view.BriefId = briefId(view);
  return view;
}

peer::VmBrief makeBrief() {
  VmView next = makeView();
  next.AsOf = Now;
  next.Loads.begin()->second = {1, 8, 4};
  next.Tokens.begin()->second = MicroTokens(2'900'000);
  peer::VmBrief brief;
  fillBrief(next, Now, true, brief);
  return brief;
}

} // namespace

TEST_GROUP(VmBrief){};

// Guards against loads that a brief assigns to the wrong service.
TEST(VmBrief, UpdatesAHeldView) {
  VmView held = makeView();
  CHECK(applyBrief(makeBrief(), Now, held));
  CHECK(held.AsOf == Now);
  const PublishedLoad &load = held.Loads.begin()->second;
  LONGS_EQUAL(1, load.FreeSlots);
  LONGS_EQUAL(8, load.TotalSlots);
  LONGS_EQUAL(4, load.Queued);
  LONGS_EQUAL(2'000'000, held.Tokens.begin()->second.Value);
}

// Guards against an age of the keys that shrinks with each VM that relays it.
TEST(VmBrief, StoreAgeIsNeverUnderstated) {
  VmView other = makeView();
  peer::VmBrief brief;
  fillBrief(other, Now, false, brief);
  VmView held = makeView();
  held.StoreContactAt = MonoTime{};
  applyBrief(brief, Now, held);
  CHECK(held.StoreContactAt <= other.StoreContactAt);
  CHECK(held.StoreContactAt > other.StoreContactAt - Seconds(1));
}

// Guards against an overflow of the age when the store was never reached, which
// would make the contact look recent.
TEST(VmBrief, KeepsAnAgeOfMonths) {
  VmView other = makeView();
  other.StoreContactAt = MonoTime{};
  MonoTime late(Seconds(60LL * 24 * 3600));
  peer::VmBrief brief;
  fillBrief(other, late, false, brief);
  CHECK(brief.store_age_s() >= 60U * 24 * 3600);
}

// Guards against applying the loads of another incarnation or another set of
// services.
TEST(VmBrief, IdChangesWithEachOmittedField) {
  VmView view = makeView();
  VmView restarted = view;
  restarted.VmIncarnation = Incarnation("a2");
  VmView more = view;
  more.Loads[{ServiceId("uploads"), VersionId("v1")}] = {};
  CHECK(briefId(view) != briefId(restarted));
  CHECK(briefId(view) != briefId(more));
  VmView load = view;
  load.Loads.begin()->second.FreeSlots = 0;
  LONGS_EQUAL(briefId(view), briefId(load));
}

// Guards against a late message that overwrites a newer one, and against a
// departing VM that becomes available again without a new process.
TEST(VmBrief, IgnoresOlderBriefsAndKeepsDeparting) {
  VmView held = makeView();
  held.AsOf = Now + Seconds(1);
  CHECK_FALSE(applyBrief(makeBrief(), Now, held));
  LONGS_EQUAL(3, held.Loads.begin()->second.FreeSlots);
  held = makeView();
  held.Departing = true;
  CHECK(applyBrief(makeBrief(), Now, held));
  CHECK(held.Departing);
}

// Guards against reading past the loads of a brief whose id collides with
// another state's.
TEST(VmBrief, RejectsABriefOfAnotherLength) {
  VmView held = makeView();
  peer::VmBrief brief = makeBrief();
  brief.add_loads(1);
  CHECK_FALSE(applyBrief(brief, Now, held));
}
