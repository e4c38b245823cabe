#include "savorylb/lookup.h"

#include "savorylb/lookup_index.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace savorylb;

namespace {

constexpr MonoTime Now{Seconds(100)};
const ServiceId Tiles("tiles");

} // namespace

TEST_GROUP(Lookup) {
  Config Conf;
  BlockTable Blocks;
  std::vector<VmView> Vms;

  void setup() override {
    for (const char *name : {"tema", "elmina"}) {
      RegionSpec region;
      region.Name = RegionId(name);
      Conf.Regions.push_back(region);
    }
    SiteSpec site;
    site.Name = SiteId("coast");
    site.Distance[RegionId("tema")] = Millis(10);
    site.Distance[RegionId("elmina")] = Millis(30);
    Blocks = makeBlockTable({{"0.0.0.0/0", site.Name}}, {site});
    for (const char *name : {"t1", "t2", "t3", "e1", "e2"})
      addVm(name, 3);
  }

  void addVm(const std::string &name, int freeSlots) {
    VmView vm;
    vm.Name = VmId(name);
    vm.Region = RegionId(name[0] == 't' ? "tema" : "elmina");
    vm.Zone = ZoneId(vm.Region.Value + "-a");
    vm.AsOf = Now;
    vm.Loads[{Tiles, VersionId("v1")}] = {freeSlots, 4, 0};
    Vms.push_back(vm);
  }

  LookupAnswer lookUpFor(std::uint32_t client = 1) {
    return lookUp(Conf, Blocks, Vms, {Tiles, client}, Now);
  }

  std::map<std::string, int> firstChoices() {
    std::map<std::string, int> counts;
    LookupIndex index = makeLookupIndex(Conf, Vms);
    for (std::uint32_t client = 0; client < 3000; ++client) {
      LookupAnswer answer = lookUp(index, Blocks, {Tiles, client * 7919}, Now);
      ++counts[answer.Vms.at(0).Name.Value];
    }
    return counts;
  }
};

// Guards against answers that ignore the distance.
TEST(Lookup, NearestRegionFirst) {
  LookupAnswer answer = lookUpFor();
  LONGS_EQUAL(4, answer.Vms.size());
  for (std::size_t i = 0; i < 3; ++i)
    STRCMP_EQUAL("tema", answer.Vms[i].Region.Value.c_str());
  LONGS_EQUAL(30'000, answer.Vms[3].Distance.count());
  STRCMP_EQUAL("tema-a:", answer.IdentityPrefix.c_str());
  CHECK(answer.Reason.find("tema") != std::string::npos);
}

// Guards against cached answers that direct all callers to one VM.
TEST(Lookup, CallersSpreadByHeadroom) {
  auto counts = firstChoices();
  for (const char *name : {"t1", "t2", "t3"})
    CHECK(counts[name] > 800);
  // One VM has fewer free slots, and the figures of another are older; both get
  // fewer callers.
  Vms[0].Loads[{Tiles, VersionId("v1")}].FreeSlots = 1;
  Vms[1].AsOf = Now - Millis(2500);
  counts = firstChoices();
  CHECK(counts["t1"] < counts["t2"]);
  CHECK(counts["t2"] < counts["t3"]);
  CHECK(counts["t1"] > 100);
}

// Guards against answers that direct new callers to full VMs and regions.
TEST(Lookup, FullVmsAndRegionsComeLater) {
  for (std::size_t i : {0U, 1U})
    Vms[i].Loads[{Tiles, VersionId("v1")}].FreeSlots = 0;
  LONGS_EQUAL(3000, firstChoices()["t3"]);
  Vms[2].Loads[{Tiles, VersionId("v1")}].FreeSlots = 0;
  STRCMP_EQUAL("elmina", lookUpFor().Vms[0].Region.Value.c_str());
  // Without spill, other regions would send the requests back.
  ServiceSpec service;
  service.Name = Tiles;
  service.Spill = false;
  Conf.Services.push_back(service);
  STRCMP_EQUAL("tema", lookUpFor().Vms[0].Region.Value.c_str());
}

// Guards against answers that direct callers to departing or silent VMs.
TEST(Lookup, DepartingAndSilentVmsAreLeftOut) {
  Vms[0].Departing = true;
  Vms[1].AsOf = Now - Millis(3001);
  auto counts = firstChoices();
  LONGS_EQUAL(3000, counts["t3"]);
  for (const LookupVm &vm : lookUpFor().Vms)
    CHECK(vm.Name != VmId("t1") && vm.Name != VmId("t2"));
}

// Guards against answers of fewer than two VMs where two exist.
TEST(Lookup, LastResortFillsUpToTwo) {
  for (VmView &vm : Vms)
    vm.Departing = true;
  LONGS_EQUAL(2, lookUpFor().Vms.size());
  Vms[4].Departing = false;
  LookupAnswer answer = lookUpFor();
  LONGS_EQUAL(2, answer.Vms.size());
  STRCMP_EQUAL("e2", answer.Vms[0].Name.Value.c_str());
  Vms.resize(1);
  LONGS_EQUAL(1, lookUpFor().Vms.size());
  Vms.clear();
  LONGS_EQUAL(0, lookUpFor().Vms.size());
}

// Guards against answers that direct callers to a draining region.
TEST(Lookup, DrainingRegionIsAvoided) {
  Conf.Regions[0].Draining = true;
  LookupAnswer answer = lookUpFor();
  LONGS_EQUAL(2, answer.Vms.size());
  for (const LookupVm &vm : answer.Vms)
    STRCMP_EQUAL("elmina", vm.Region.Value.c_str());
  Conf.Regions[1].Draining = true;
  STRCMP_EQUAL("tema", lookUpFor().Vms[0].Region.Value.c_str());
}

TEST_GROUP_BASE(LookupLarge, TEST_GROUP_CppUTestGroupLookup){
    void setup() override{TEST_GROUP_CppUTestGroupLookup::setup();
Vms.clear();
for (int i = 0; i < 860; ++i)
  addVm("t" + std::to_string(i), 3);
}

/// \returns the first choice of each caller.
std::vector<std::string> choices(std::uint32_t clients = 172'000) {
  std::vector<std::string> out;
  LookupIndex index = makeLookupIndex(Conf, Vms);
  for (std::uint32_t client = 0; client < clients; ++client)
    out.push_back(lookUp(index, Blocks, {Tiles, client * 7919}, Now)
                      .Vms.at(0)
                      .Name.Value);
  return out;
}
}
;

// Guards against VMs of a large region that get too many callers or none
// because a lookup compares only some of them.
TEST(LookupLarge, CallersSpreadOverAllVms) {
  std::map<std::string, int> counts;
  for (const std::string &it : choices())
    ++counts[it];
  LONGS_EQUAL(860, counts.size());
  // 200 each on average.
  for (const auto &[name, number] : counts)
    CHECK_TEXT(number > 100 && number < 300, name.c_str());
}

// Guards against a departure of one VM that changes the first choice of most
// callers.
TEST(LookupLarge, FewCallersMoveWhenOneVmLeaves) {
  std::vector<std::string> before = choices();
  Vms[77].Departing = true;
  std::vector<std::string> after = choices();
  int moved = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    moved += before[i] != after[i];
    CHECK(after[i] != "t77");
  }
  CHECK(moved < 172'000 / 20);
}

// Guards against the choice of full or silent VMs while a few others have free
// slots.
TEST(LookupLarge, FewVmsWithRoomAreFound) {
  for (std::size_t i = 0; i < Vms.size(); ++i) {
    Vms[i].Loads[{Tiles, VersionId("v1")}].FreeSlots = 0;
    if (i % 2)
      Vms[i].AsOf = Now - Millis(3001);
  }
  for (std::size_t i : {100U, 500U})
    Vms[i].Loads[{Tiles, VersionId("v1")}].FreeSlots = 3;
  for (const std::string &it : choices(20'000))
    CHECK(it == "t100" || it == "t500");
}
