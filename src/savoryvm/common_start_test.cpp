#include "savorylb/metrics.h"
#include "vm_fixture.h"

using namespace savorylb;
using namespace savorylb::standin;

namespace {

constexpr int FirstVm = 2;
constexpr int VmCount = 6;
/// Time after the start within which a limit over all VMs is hardly exceeded,
/// even if each VM takes itself for the only one.
constexpr Duration DiscoveryLimit = Millis(500);
/// Documents of operators, targets and VMs.
constexpr int PrefixCount = 3;

/// \returns whether a VM names all VMs in its answer to a lookup.
bool namesAllVms(VmFixture &fixture, int vm) {
  CallerRequest request;
  request.Path = "/resolve?name=maps.example&region=tema&zone=tema-a";
  std::string body;
  callVm(fixture.Io, fixture.Platform.lookupAddress(vm), request,
         [&](const CallerResult &it) { body = it.Body + " "; });
  fixture.waitUntil([&] { return !body.empty(); });
  for (int n = FirstVm; n < FirstVm + VmCount; ++n)
    if (body.find(fixture.Platform.callerAddress(n)) == std::string::npos)
      return false;
  return true;
}

} // namespace

TEST_GROUP(CommonStart){};

// Guards against VMs that start together, know only some of the others for more
// than a second, and each keep the account of the same team or warm up the same
// target.
TEST(CommonStart, VmsFindEachOtherLate) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  MonoTime end = monoNow() + DiscoveryLimit;
  for (int n = FirstVm; n < FirstVm + VmCount; ++n)
    fixture.addVm(n);
  for (int n = FirstVm; n < FirstVm + VmCount; ++n)
    CHECK_TRUE(fixture.waitUntil([&] { return namesAllVms(fixture, n); },
                                 end - monoNow()));
}

// Guards against VMs that start together and all watch the store until they
// know which of them the others follow.
TEST(CommonStart, EachVmWatchesTheStore) {
  std::int64_t watches = counterValue("store_calls_watch");
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  for (int n = FirstVm; n < FirstVm + VmCount; ++n)
    fixture.addVm(n);
  fixture.runFor(DiscoveryLimit);
  watches = counterValue("store_calls_watch") - watches;
  // One VM watches all prefixes; each other VM at most one of them.
  CHECK_TRUE(watches >= PrefixCount);
  CHECK_TRUE(watches < PrefixCount + VmCount);
}
