#include "fleet_view.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};

VmEntry vm(const std::string &name, const std::string &zone,
           const std::string &region) {
  return {VmId(name),   ZoneId(zone),   RegionId(region),
          name + ":80", name + ":7000", "start-1"};
}

FleetView makeView() {
  FleetView view;
  view.Self = vm("self", "tema-a", "tema");
  view.StoreReachable = true;
  for (const VmEntry &it :
       {vm("a2", "tema-a", "tema"), vm("b1", "tema-b", "tema"),
        vm("e1", "elm-a", "elmina")})
    view.Registered[it.Vm] = it;
  return view;
}

void receiveReport(FleetView &view, const VmEntry &entry, bool draining,
                   MonoTime at) {
  PeerReport report;
  report.Vm = entry;
  report.Draining = draining;
  view.Peers[entry.Vm] = {report, at};
}

bool contains(const std::vector<std::string> &addresses,
              const std::string &it) {
  return std::find(addresses.begin(), addresses.end(), it) != addresses.end();
}

} // namespace

TEST_GROUP(FleetView){};

// Guards against callers that are sent to another zone although theirs has
// enough VMs, or that get a single VM.
TEST(FleetView, ReturnsTheZoneOrElseTheRegion) {
  FleetView view = makeView();
  auto inZone =
      lookupAddresses(view, ZoneId("tema-a"), RegionId("tema"), Start);
  LONGS_EQUAL(2, inZone.size());
  auto inRegion =
      lookupAddresses(view, ZoneId("tema-b"), RegionId("tema"), Start);
  LONGS_EQUAL(3, inRegion.size());
  auto other =
      lookupAddresses(view, ZoneId("tkd-a"), RegionId("takoradi"), Start);
  LONGS_EQUAL(4, other.size());
}

// Guards against lookup responses with a VM that is draining.
TEST(FleetView, DrainingVmIsNotReturned) {
  FleetView view = makeView();
  receiveReport(view, view.Registered[VmId("a2")], true, Start);
  auto found = lookupAddresses(view, ZoneId("tema-a"), RegionId("tema"), Start);
  CHECK_FALSE(contains(found, "a2:80"));
  view.SelfDraining = true;
  found = lookupAddresses(view, ZoneId("tema-a"), RegionId("tema"), Start);
  CHECK_FALSE(contains(found, "self:80"));
}

// Guards against dead VMs that stay in lookup responses while the store, which
// would remove their entries, is unreachable.
TEST(FleetView, WithoutTheStoreOnlyReportingVmsAreReturned) {
  FleetView view = makeView();
  receiveReport(view, view.Registered[VmId("a2")], false, Start);
  MonoTime later = Start + PeerTimeout + Millis(100);
  CHECK_TRUE(
      contains(lookupAddresses(view, ZoneId("tema-a"), RegionId("tema"), later),
               "a2:80"));
  view.StoreReachable = false;
  CHECK_FALSE(
      contains(lookupAddresses(view, ZoneId("tema-a"), RegionId("tema"), later),
               "a2:80"));
}

// Guards against giving the demand of a VM on the other side of a network
// partition to other VMs.
TEST(FleetView, DemandOfASilentVmCountsForSomeTime) {
  FleetView view = makeView();
  PeerReport report;
  report.Vm = view.Registered[VmId("a2")];
  report.Demand[TeamId("port")] = 7;
  view.Peers[report.Vm.Vm] = {report, Start};
  DOUBLES_EQUAL(7, peerDemand(view, TeamId("port"), Start + Seconds(9)), 0.01);
  DOUBLES_EQUAL(0, peerDemand(view, TeamId("port"), Start + Seconds(11)), 0.01);
}

// Guards against a number of store calls that grows with the number of VMs, and
// against VMs that follow a stopped one.
TEST(FleetView, OneVmOfARegionWatchesTheStore) {
  std::vector<VmEntry> vms = {
      vm("a1", "tema-a", "tema"), vm("a2", "tema-a", "tema"),
      vm("b1", "tema-b", "tema"), vm("e1", "elm-a", "elmina")};
  std::string first;
  for (std::size_t i = 0; i < 3; ++i) {
    FleetView view;
    view.Self = vms[i];
    for (const VmEntry &it : vms)
      if (it.Vm != view.Self.Vm)
        receiveReport(view, it, false, Start);
    auto order = storeWatchers(view, RegionId("tema"), Start);
    LONGS_EQUAL(3, order.size());
    first = i == 0 ? order[0].Vm.Value : first;
    STRCMP_EQUAL(first.c_str(), order[0].Vm.Value.c_str());
    auto later =
        storeWatchers(view, RegionId("tema"), Start + PeerTimeout + Seconds(1));
    LONGS_EQUAL(1, later.size());
  }
}
