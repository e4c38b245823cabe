#include "savorylb/placement.h"

#include "savorylb/headroom.h"

#include <algorithm>
#include <utility>

namespace savorylb {

namespace {

struct OwnerCandidate {
  const VmView *Vm = nullptr;
  /// Number of free slots, reduced by the age of the figure. If none is free,
  /// the negated ratio of queued requests to slots.
  double Availability = 0;
  /// Orders the owners of one group before their availability. For full owners
  /// it is not a network delay: 0 in the local zone and 1 in the other zones of
  /// the local region.
  Duration SortDelay{};
  /// Random key that orders equal owners.
  std::uint64_t TieBreak = 0;
};

// The groups are asked in this order. Full owners of the local region are
// included because they can queue the request: before other regions when the
// queue is shorter than the number of slots, which means a wait of about one
// service time, and last when it is longer.
enum OwnerGroup {
  OwnZone,
  OwnRegion,
  ShortQueue,
  OtherRegion,
  LongQueue,
  GroupCount
};

const char *const GroupNames[] = {"own zone", "own region", "short queue",
                                  "other region", "long queue"};

bool isAllowed(const PlacementQuery &query, const RegionId &region) {
  return query.TeamRegions.empty() ||
         std::find(query.TeamRegions.begin(), query.TeamRegions.end(),
                   region) != query.TeamRegions.end();
}

// The data of a region that placement needs, collected once per request.
struct RegionCandidate {
  const RegionSpec *Spec = nullptr;
  bool Usable = false;
  Duration Delay{};
};

std::vector<RegionCandidate> collectRegions(const Config &config,
                                            const PlacementQuery &query) {
  std::vector<RegionCandidate> regions;
  for (const RegionSpec &spec : config.Regions) {
    RegionCandidate region;
    region.Spec = &spec;
    region.Usable =
        query.Spill && !spec.Draining && isAllowed(query, spec.Name);
    for (const LinkSpec &link : config.Links)
      if ((link.From == query.Region && link.To == spec.Name) ||
          (link.To == query.Region && link.From == spec.Name))
        region.Delay = link.Delay;
    regions.push_back(region);
  }
  return regions;
}

// Adds up the slots of the wanted version, or of all versions when the query
// names none.
PublishedLoad totalLoad(const VmView &vm, const PlacementQuery &query) {
  PublishedLoad sum;
  auto it = vm.Loads.lower_bound({query.Service, query.Version});
  for (; it != vm.Loads.end() && it->first.first == query.Service; ++it) {
    if (!query.Version.empty() && it->first.second != query.Version)
      break;
    sum.FreeSlots += it->second.FreeSlots;
    sum.TotalSlots += it->second.TotalSlots;
    // All versions of a service share one queue.
    sum.Queued = std::max(sum.Queued, it->second.Queued);
  }
  return sum;
}

std::size_t pickWeighted(const std::vector<OwnerCandidate> &owners,
                         std::uint64_t bits) {
  double sum = 0;
  for (const OwnerCandidate &owner : owners)
    sum += owner.Availability;
  // The divisor is 2^53: the upper 53 bits are taken as a fraction of one.
  double at = static_cast<double>(bits >> 11) / 9007199254740992.0 * sum;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    at -= owners[i].Availability;
    if (at < 0)
      return i;
  }
  return owners.size() - 1;
}

bool isMoreAvailable(const OwnerCandidate &a, const OwnerCandidate &b) {
  if (a.SortDelay != b.SortDelay)
    return a.SortDelay < b.SortDelay;
  if (a.Availability != b.Availability)
    return a.Availability > b.Availability;
  return a.TieBreak < b.TieBreak;
}

// Orders owners by the power of two choices: of two random owners, weighted by
// free slots, the one with more free slots is asked first. Always choosing the
// owner with the most free slots would send all VMs to the same owner until its
// next heartbeat.
void orderOwners(std::vector<OwnerCandidate> &owners,
                 const PlacementQuery &query) {
  if (owners.empty())
    return;
  std::vector<OwnerCandidate> ordered;
  // The figures of this VM are exact, and asking it needs no message.
  auto self =
      std::find_if(owners.begin(), owners.end(), [&](const OwnerCandidate &it) {
        return it.Vm->Name == query.Self && it.Availability >= 1;
      });
  if (self != owners.end()) {
    ordered.push_back(*self);
    owners.erase(self);
  }
  if (owners.empty()) {
    owners = std::move(ordered);
    return;
  }
  auto nearest = std::min_element(owners.begin(), owners.end(), isMoreAvailable)
                     ->SortDelay;
  std::vector<OwnerCandidate> near;
  std::vector<OwnerCandidate> rest;
  for (const OwnerCandidate &owner : owners)
    (owner.SortDelay == nearest && owner.Availability > 0 ? near : rest)
        .push_back(owner);
  std::size_t first = ordered.size();
  for (std::uint64_t bits : {query.RandomA, query.RandomB})
    if (!near.empty()) {
      auto at =
          near.begin() + static_cast<std::ptrdiff_t>(pickWeighted(near, bits));
      ordered.push_back(*at);
      near.erase(at);
    }
  std::sort(ordered.begin() + static_cast<std::ptrdiff_t>(first), ordered.end(),
            isMoreAvailable);
  rest.insert(rest.end(), near.begin(), near.end());
  std::size_t keep = std::min(rest.size(), MaxPlacementOwners);
  std::partial_sort(rest.begin(), rest.begin() + static_cast<long>(keep),
                    rest.end(), isMoreAvailable);
  ordered.insert(ordered.end(), rest.begin(),
                 rest.begin() + static_cast<long>(keep));
  owners = std::move(ordered);
}

} // namespace

std::vector<PlacementChoice> placeRequest(const Config &config,
                                          const std::vector<VmView> &vms,
                                          const PlacementQuery &query,
                                          MonoTime now) {
  std::vector<OwnerCandidate> groups[GroupCount];
  std::vector<RegionCandidate> regions = collectRegions(config, query);
  bool ownRegionAllowed = isAllowed(query, query.Region);
  std::uint64_t number = 0;
  for (const VmView &vm : vms) {
    if (vm.Departing || vm.RetryAt > now)
      continue;
    Duration age = now - vm.AsOf;
    // This VM knows its own state; other VMs that became silent may have
    // failed.
    if (age > VmSilenceLimit && vm.Name != query.Self)
      continue;
    OwnerCandidate owner;
    owner.Vm = &vm;
    OwnerGroup group = OwnRegion;
    if (vm.Region == query.Region) {
      if (!ownRegionAllowed)
        continue;
      if (vm.Zone == query.Zone)
        group = OwnZone;
    } else {
      auto region = std::find_if(regions.begin(), regions.end(),
                                 [&](const RegionCandidate &it) {
                                   return it.Spec->Name == vm.Region;
                                 });
      if (region == regions.end() || !region->Usable)
        continue;
      group = OtherRegion;
      owner.SortDelay = region->Delay;
    }
    PublishedLoad load = totalLoad(vm, query);
    if (load.TotalSlots <= 0)
      continue;
    owner.Availability = agedFreeSlots(load.FreeSlots, age);
    owner.TieBreak = (query.RandomA ^ ++number) * 0x9e3779b97f4a7c15ULL;
    if (owner.Availability <= 0) {
      // A full owner in another region does not justify the network delay.
      if (group == OtherRegion)
        continue;
      owner.Availability = -static_cast<double>(load.Queued) / load.TotalSlots;
      owner.SortDelay = Duration(group == OwnZone ? 0 : 1);
      group = owner.Availability > -1 ? ShortQueue : LongQueue;
    }
    groups[group].push_back(owner);
  }
  std::vector<PlacementChoice> choices;
  for (int group = OwnZone; group < GroupCount; ++group) {
    orderOwners(groups[group], query);
    for (const OwnerCandidate &owner : groups[group]) {
      if (choices.size() == MaxPlacementOwners)
        return choices;
      choices.push_back({owner.Vm->Name, group == OtherRegion,
                         std::string(GroupNames[group]) + ", " +
                             std::to_string(static_cast<int>(
                                 std::max(owner.Availability, 0.0) * 100)) +
                             "% of a slot free"});
    }
  }
  return choices;
}

} // namespace savorylb
