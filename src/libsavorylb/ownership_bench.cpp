#include "savorylb/ownership.h"

#include <benchmark/benchmark.h>

using namespace savorylb;

namespace {

/// \returns the view of a zone whose resources are evenly distributed, so that
/// no change is planned.
OwnershipView makeView(int members, int targets) {
  OwnershipView view;
  view.Doc = makeZoneDocument(ZoneId("z"), Ppm(166'666));
  view.Doc.Rev = Revision(5);
  std::vector<VmId> names;
  names.reserve(members);
  for (int n = 0; n < members; ++n)
    names.emplace_back("vm-" + std::to_string(100 + n));
  for (int n = 0; n < members; ++n) {
    ZoneMember &it = view.Doc.Members[names[n]];
    it.VmIncarnation = Incarnation("life");
    it.PeerEndpoint = "127.0.0.1:7002";
    it.Successor = names[(n + 1) % members];
    it.SuccessorIncarnation = it.VmIncarnation;
    it.RateShare = Ppm(166'666 / members);
    view.Alive.insert(names[n]);
  }
  view.Doc.Members[names[0]].RateShare += Ppm(166'666 % members);
  for (int n = 0; n < targets; ++n) {
    TargetId id("target-" + std::to_string(1000 + n));
    view.ConfiguredTargets.insert(id);
    view.Doc.Targets[id] = names[n % members];
  }
  for (int n = 0; n < PartitionCount; ++n)
    view.Doc.Partitions[n] = names[n % members];
  view.Self = names[1];
  view.SelfIncarnation = Incarnation("life");
  return view;
}

/// \returns leases granted to all members, so that none is taken over.
LeaseGrants makeGrants(const OwnershipView &view) {
  LeaseGrants grants;
  for (const auto &it : view.Doc.Members)
    grantLease(grants, it.first, it.second.VmIncarnation, MonoTime(Seconds(99)),
               LeaseTimes());
  return grants;
}

void runBenchmark(benchmark::State &state, const OwnershipView &view) {
  LeaseGrants grants = makeGrants(view);
  LeaseTimes times;
  for (auto it : state) {
    (void)it;
    benchmark::DoNotOptimize(
        planOwnership(view, grants, MonoTime(Seconds(100)), times));
  }
}

void planSettled(benchmark::State &state) {
  auto view = makeView(static_cast<int>(state.range(0)), 64);
  if (planOwnership(view, makeGrants(view), MonoTime(Seconds(100)),
                    LeaseTimes())
          .Step != OwnershipStep::None)
    state.SkipWithError("the zone is not settled");
  runBenchmark(state, view);
}

void planTakeOver(benchmark::State &state) {
  auto view = makeView(static_cast<int>(state.range(0)), 64);
  const VmId &dead = view.Doc.Members.begin()->first;
  view.ProvedDead.insert({dead, Incarnation("life")});
  runBenchmark(state, view);
}

} // namespace

BENCHMARK(planSettled)->Arg(2)->Arg(10)->Arg(86);
BENCHMARK(planTakeOver)->Arg(2)->Arg(10)->Arg(86);
