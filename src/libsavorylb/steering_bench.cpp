#include "savorylb/block_table.h"
#include "savorylb/key_ring.h"
#include "savorylb/lookup.h"
#include "savorylb/lookup_index.h"
#include "savorylb/placement.h"
#include "savorylb/rollout.h"

#include <benchmark/benchmark.h>
#include <random>
#include <string>

using namespace savorylb;

namespace {

const char *const Regions[] = {"tema", "takoradi", "elmina"};

Config makeConfig() {
  Config config;
  for (const char *region : Regions) {
    RegionSpec spec;
    spec.Name = RegionId(region);
    config.Regions.push_back(spec);
  }
  ServiceSpec service;
  service.Name = ServiceId("tiles");
  config.Services.push_back(service);
  return config;
}

std::vector<SiteSpec> makeSites() {
  std::vector<SiteSpec> sites;
  for (int i = 0; i < 200; ++i) {
    SiteSpec site;
    site.Name = SiteId("site" + std::to_string(i));
    for (int r = 0; r < 3; ++r)
      site.Distance[RegionId(Regions[r])] = Millis(10 + (i + r) % 3 * 20);
    sites.push_back(site);
  }
  return sites;
}

std::string cidr(std::uint32_t first, int length) {
  return std::to_string(first >> 24) + "." + std::to_string(first >> 16 & 255) +
         "." + std::to_string(first >> 8 & 255) + "." +
         std::to_string(first & 255) + "/" + std::to_string(length);
}

// One tenth of the blocks are /16 blocks that enclose some of the /24 blocks.
BlockTable makeTable(int number) {
  std::mt19937 rng(7);
  std::vector<BlockSpec> blocks;
  for (int i = 0; i < number; ++i) {
    int length = i % 10 == 0 ? 16 : 24;
    // Multiplication by odd factors gives distinct blocks in scattered order.
    std::uint32_t first =
        length == 16 ? (static_cast<std::uint32_t>(i / 10) * 40503U) << 16
                     : (static_cast<std::uint32_t>(i) * 10368889U) << 8;
    blocks.push_back(
        {cidr(first, length), SiteId("site" + std::to_string(rng() % 200))});
  }
  return makeBlockTable(blocks, makeSites());
}

std::vector<VmView> makeVms(int number) {
  std::vector<VmView> vms;
  for (int i = 0; i < number; ++i) {
    VmView vm;
    vm.Name = VmId("vm" + std::to_string(i));
    vm.Region = RegionId(Regions[i % 3]);
    vm.Zone = ZoneId(vm.Region.Value + "-" + std::to_string(i / 3 % 3));
    vm.CallerEndpoint = "127.0.0.1:7001";
    vm.AsOf = MonoTime(Millis(99'000 + i % 900));
    for (const char *service : {"tiles", "permits", "uploads", "declarations"})
      vm.Loads[{ServiceId(service), VersionId("v1")}] = {i % 5, 4, 0};
    vms.push_back(vm);
  }
  return vms;
}

constexpr MonoTime Now{Millis(100'000)};

void findSiteBench(benchmark::State &state) {
  BlockTable table = makeTable(static_cast<int>(state.range(0)));
  std::mt19937 rng(11);
  for (auto _ : state)
    benchmark::DoNotOptimize(
        findSite(table, static_cast<std::uint32_t>(rng())));
  state.counters["blocks"] = static_cast<double>(table.Blocks.size());
  state.counters["bytes"] =
      static_cast<double>(table.Blocks.size() * sizeof(BlockEntry));
}
BENCHMARK(findSiteBench)->Arg(10'000)->Arg(100'000)->Arg(530'000);

void lookUpBench(benchmark::State &state) {
  Config config = makeConfig();
  static const BlockTable table = makeTable(530'000);
  auto vms = makeVms(static_cast<int>(state.range(0)));
  std::mt19937 rng(11);
  for (auto _ : state)
    benchmark::DoNotOptimize(
        lookUp(config, table, vms,
               {ServiceId("tiles"), static_cast<std::uint32_t>(rng())}, Now));
}
BENCHMARK(lookUpBench)->Arg(10)->Arg(40)->Arg(86)->Arg(860);

void lookUpIndexBench(benchmark::State &state) {
  static const BlockTable table = makeTable(530'000);
  auto index =
      makeLookupIndex(makeConfig(), makeVms(static_cast<int>(state.range(0))));
  std::mt19937 rng(11);
  for (auto _ : state)
    benchmark::DoNotOptimize(
        lookUp(index, table,
               {ServiceId("tiles"), static_cast<std::uint32_t>(rng())}, Now));
}
BENCHMARK(lookUpIndexBench)->Arg(10)->Arg(40)->Arg(86)->Arg(860);

void makeIndexBench(benchmark::State &state) {
  Config config = makeConfig();
  auto vms = makeVms(static_cast<int>(state.range(0)));
  for (auto _ : state)
    benchmark::DoNotOptimize(makeLookupIndex(config, vms));
}
BENCHMARK(makeIndexBench)->Arg(86)->Arg(860);

void placeRequestBench(benchmark::State &state) {
  Config config = makeConfig();
  auto vms = makeVms(static_cast<int>(state.range(0)));
  std::mt19937_64 rng(11);
  PlacementQuery query;
  query.Self = VmId("vm0");
  query.Region = RegionId("tema");
  query.Zone = ZoneId("tema-0");
  query.Service = ServiceId("tiles");
  query.Version = VersionId("v1");
  for (auto _ : state) {
    query.RandomA = rng();
    query.RandomB = rng();
    benchmark::DoNotOptimize(placeRequest(config, vms, query, Now));
  }
}
BENCHMARK(placeRequestBench)->Arg(10)->Arg(86)->Arg(860);

void chooseVersionBench(benchmark::State &state) {
  Rollout rollout;
  rollout.Spec.From = VersionId("v1");
  rollout.Spec.To = VersionId("v2");
  rollout.Record.Phase = RolloutPhase::Running;
  rollout.Record.Share = Ppm(50'000);
  RouteId route("tiles");
  for (auto _ : state)
    benchmark::DoNotOptimize(chooseVersion(rollout, route));
}
BENCHMARK(chooseVersionBench);

void testVersionsBench(benchmark::State &state) {
  VersionCounts counts{1000, 10, 50, 1};
  TestParameters limits;
  for (auto _ : state) {
    counts.OldTotal += 1;
    benchmark::DoNotOptimize(testVersions(counts, limits));
  }
}
BENCHMARK(testVersionsBench);

void observeResultBench(benchmark::State &state) {
  Rollout rollout;
  rollout.Spec.From = VersionId("v1");
  rollout.Spec.To = VersionId("v2");
  rollout.Record.Phase = RolloutPhase::Running;
  rollout.Record.Proven = true;
  rollout.Record.Share = Ppm(500'000);
  std::mt19937_64 rng(11);
  std::vector<RouteId> routes;
  routes.reserve(10);
  for (int i = 0; i < 10; ++i)
    routes.emplace_back("route" + std::to_string(i));
  for (auto _ : state) {
    const RouteId &route = routes[rng() % 10];
    observeResult(rollout, route, chooseVersion(rollout, route), false,
                  Duration(5'000 + rng() % 5'000));
  }
}
BENCHMARK(observeResultBench);

void teamOfKeyBench(benchmark::State &state) {
  KeyRing ring;
  ring.Rev = Revision(1);
  std::mt19937_64 rng(11);
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    std::string digest;
    while (digest.size() < 64)
      digest += "0123456789abcdef"[rng() % 16];
    ring.Entries.push_back({digest, TeamId("team"), "label", false});
  }
  ring = parseKeyRing(formatKeyRing(ring)).value();
  std::size_t n = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(teamOfKey(ring, ring.Entries[n].Digest));
    n = (n + 7919) % ring.Entries.size();
  }
}
BENCHMARK(teamOfKeyBench)->Arg(10)->Arg(1000)->Arg(100'000);

} // namespace
