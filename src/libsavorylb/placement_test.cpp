#include "savorylb/placement.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <random>

using namespace savorylb;

namespace {

constexpr MonoTime Now{Seconds(100)};

} // namespace

TEST_GROUP(Placement) {
  Config Conf;
  std::vector<VmView> Vms;
  PlacementQuery Query;
  std::mt19937_64 Rng{31};

  void setup() override {
    for (const char *name : {"seoul", "jeonju", "gyeongju"}) {
      RegionSpec region;
      region.Name = RegionId(name);
      Conf.Regions.push_back(region);
    }
    LinkSpec link;
    link.From = RegionId("seoul");
    link.To = RegionId("jeonju");
    link.Delay = Millis(35);
    Conf.Links.push_back(link);
    addVm("self", "seoul", "a", 0);
    addVm("a1", "seoul", "a", 2);
    addVm("a2", "seoul", "a", 2);
    addVm("b1", "seoul", "b", 5);
    addVm("j1", "jeonju", "j", 5);
    Query.Self = VmId("self");
    Query.Region = RegionId("seoul");
    Query.Zone = ZoneId("a");
    Query.Service = ServiceId("booking");
    Query.Version = VersionId("v1");
  }

  void addVm(const char *name, const char *region, const char *zone,
             int freeSlots) {
    VmView vm;
    vm.Name = VmId(name);
    vm.Region = RegionId(region);
    vm.Zone = ZoneId(zone);
    vm.AsOf = Now;
    vm.Loads[{ServiceId("booking"), VersionId("v1")}] = {freeSlots, 5, 0};
    Vms.push_back(vm);
  }

  PublishedLoad &load(std::size_t i) {
    return Vms[i].Loads[{ServiceId("booking"), VersionId("v1")}];
  }

  std::string ownerOrder() {
    Query.RandomA = Rng();
    Query.RandomB = Rng();
    std::string text;
    for (const PlacementChoice &choice : placeRequest(Conf, Vms, Query, Now))
      text += choice.Owner.Value + (choice.OtherRegion ? "! " : " ");
    return text;
  }

  std::map<std::string, int> firstChoices() {
    std::map<std::string, int> counts;
    for (int i = 0; i < 3000; ++i) {
      std::string text = ownerOrder();
      ++counts[text.substr(0, text.find(' '))];
    }
    return counts;
  }
};

// Guards against long network paths while the local zone has free slots.
TEST(Placement, OwnZoneThenRegionThenOthers) {
  for (int i = 0; i < 20; ++i) {
    std::string text = ownerOrder();
    CHECK(text == "a1 a2 b1 self j1! " || text == "a2 a1 b1 self j1! ");
  }
  // An owner whose queue is longer than its number of slots comes after other
  // regions.
  load(0).Queued = 9;
  CHECK(ownerOrder().find("b1 j1! self") != std::string::npos);
  // Using this VM's own free slots needs no message.
  load(0).FreeSlots = 1;
  LONGS_EQUAL(0, ownerOrder().find("self "));
}

// Guards against placement in other regions when the route or the team does not
// allow it, or when they have no free slots.
TEST(Placement, OtherRegionsOnlyWhenAllowed) {
  Query.Spill = false;
  CHECK(ownerOrder().find("j1") == std::string::npos);
  Query.Spill = true;
  Query.TeamRegions = {RegionId("seoul")};
  CHECK(ownerOrder().find("j1") == std::string::npos);
  Query.TeamRegions = {RegionId("jeonju")};
  STRCMP_EQUAL("j1! ", ownerOrder().c_str());
  load(4).FreeSlots = 0;
  STRCMP_EQUAL("", ownerOrder().c_str());
  Query.TeamRegions.clear();
  load(4).FreeSlots = 3;
  Conf.Regions[1].Draining = true;
  CHECK(ownerOrder().find("j1") == std::string::npos);
}

// Guards against new requests to VMs that are departing, silent or do not
// respond.
TEST(Placement, UnusableVmsAreSkipped) {
  Vms[1].Departing = true;
  Vms[2].RetryAt = Now + Millis(1);
  Vms[3].AsOf = Now - Millis(3001);
  STRCMP_EQUAL("self j1! ", ownerOrder().c_str());
  Vms[2].RetryAt = Now;
  CHECK(ownerOrder().find("a2") == 0);
}

// Guards against all VMs asking the same owner until its next heartbeat, and
// against giving old figures the same weight as recent ones.
TEST(Placement, ChoiceSpreadsByAgedFreeSlots) {
  auto counts = firstChoices();
  CHECK(counts["a1"] > 1200 && counts["a2"] > 1200);
  Vms[1].AsOf = Now - Millis(2000);
  addVm("a3", "seoul", "a", 2);
  addVm("a4", "seoul", "a", 5);
  counts = firstChoices();
  CHECK(counts["a1"] < counts["a2"]);
  CHECK(counts["a4"] > counts["a2"] && counts["a4"] < 2900);
}

// Guards against answers whose size grows with the fleet.
TEST(Placement, AnswerIsBounded) {
  for (int i = 0; i < 100; ++i)
    addVm(("x" + std::to_string(i)).c_str(), "seoul", "a", i % 3);
  LONGS_EQUAL(MaxPlacementOwners, placeRequest(Conf, Vms, Query, Now).size());
}

// Guards against refusing every request to a service without a rollout, because
// VMs publish slots by version only.
TEST(Placement, NoVersionMeansAllVersions) {
  VmView vm;
  vm.Name = VmId("a");
  vm.Zone = ZoneId("z1");
  vm.Region = RegionId("r1");
  vm.AsOf = MonoTime(Seconds(1));
  vm.Loads[{ServiceId("s"), VersionId("v1")}] = {1, 4, 0};
  vm.Loads[{ServiceId("s"), VersionId("v2")}] = {2, 4, 0};
  vm.Loads[{ServiceId("t"), VersionId("v1")}] = {4, 4, 0};
  PlacementQuery query;
  query.Zone = ZoneId("z1");
  query.Region = RegionId("r1");
  query.Service = ServiceId("s");
  auto choices = placeRequest(Config(), {vm}, query, MonoTime(Seconds(1)));
  LONGS_EQUAL(1, choices.size());
  query.Version = VersionId("v3");
  choices = placeRequest(Config(), {vm}, query, MonoTime(Seconds(1)));
  LONGS_EQUAL(0, choices.size());
}
