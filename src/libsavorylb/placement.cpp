#include "savorylb/placement.h"

#include "savorylb/headroom.h"

#include <algorithm>
#include <utility>

namespace savorylb {

namespace {

struct Owner {
  const VmView *Vm = nullptr;
  /// Free slots, or less than zero by the length of the queue.
  double Free = 0;
  Duration Delay{};
  /// Random order among equals.
  std::uint64_t Tie = 0;
};

// Full owners of the own region stay in the list, since they can queue the
// request: before other regions when the queue is shorter than their slots, so
// about one service time, and last when it is longer.
enum Group {
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

// What placement needs of the regions, read once per request.
struct RegionChoice {
  const RegionSpec *Spec = nullptr;
  bool Usable = false;
  Duration Delay{};
};

std::vector<RegionChoice> otherRegions(const Config &config,
                                       const PlacementQuery &query) {
  std::vector<RegionChoice> regions;
  for (const RegionSpec &spec : config.Regions) {
    RegionChoice region;
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

// Slots of one version, or of all versions when none is wanted.
PublishedLoad loadOf(const VmView &vm, const PlacementQuery &query) {
  PublishedLoad sum;
  auto it = vm.Loads.lower_bound({query.Service, query.Version});
  for (; it != vm.Loads.end() && it->first.first == query.Service; ++it) {
    if (!query.Version.empty() && it->first.second != query.Version)
      break;
    sum.FreeSlots += it->second.FreeSlots;
    sum.TotalSlots += it->second.TotalSlots;
    // The queue is shared by the versions of a service.
    sum.Queued = std::max(sum.Queued, it->second.Queued);
  }
  return sum;
}

std::size_t pickWeighted(const std::vector<Owner> &owners, std::uint64_t bits) {
  double sum = 0;
  for (const Owner &owner : owners)
    sum += owner.Free;
  double at = static_cast<double>(bits >> 11) / 9007199254740992.0 * sum;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    at -= owners[i].Free;
    if (at < 0)
      return i;
  }
  return owners.size() - 1;
}

bool isFreer(const Owner &a, const Owner &b) {
  if (a.Delay != b.Delay)
    return a.Delay < b.Delay;
  if (a.Free != b.Free)
    return a.Free > b.Free;
  return a.Tie < b.Tie;
}

// Two random owners, weighted by free slots, are compared and the freer one is
// asked first: always taking the freest would send all VMs to the same owner
// until its next heartbeat.
void orderOwners(std::vector<Owner> &owners, const PlacementQuery &query) {
  if (owners.empty())
    return;
  std::vector<Owner> ordered;
  // The own figures are exact and need no message.
  auto self = std::find_if(owners.begin(), owners.end(), [&](const Owner &it) {
    return it.Vm->Name == query.Self && it.Free >= 1;
  });
  if (self != owners.end()) {
    ordered.push_back(*self);
    owners.erase(self);
  }
  if (owners.empty()) {
    owners = std::move(ordered);
    return;
  }
  auto nearest = std::min_element(owners.begin(), owners.end(), isFreer)->Delay;
  std::vector<Owner> near;
  std::vector<Owner> rest;
  for (const Owner &owner : owners)
    (owner.Delay == nearest && owner.Free > 0 ? near : rest).push_back(owner);
  std::size_t first = ordered.size();
  for (std::uint64_t bits : {query.RandomA, query.RandomB})
    if (!near.empty()) {
      auto at =
          near.begin() + static_cast<std::ptrdiff_t>(pickWeighted(near, bits));
      ordered.push_back(*at);
      near.erase(at);
    }
  std::sort(ordered.begin() + static_cast<std::ptrdiff_t>(first), ordered.end(),
            isFreer);
  rest.insert(rest.end(), near.begin(), near.end());
  std::size_t keep = std::min(rest.size(), MaxPlacementOwners);
  std::partial_sort(rest.begin(), rest.begin() + static_cast<long>(keep),
                    rest.end(), isFreer);
  ordered.insert(ordered.end(), rest.begin(),
                 rest.begin() + static_cast<long>(keep));
  owners = std::move(ordered);
}

} // namespace

std::vector<PlacementChoice> placeRequest(const Config &config,
                                          const std::vector<VmView> &vms,
                                          const PlacementQuery &query,
                                          MonoTime now) {
  std::vector<Owner> groups[GroupCount];
  std::vector<RegionChoice> regions = otherRegions(config, query);
  bool ownAllowed = isAllowed(query, query.Region);
  std::uint64_t number = 0;
  for (const VmView &vm : vms) {
    if (vm.Departing || vm.RetryAt > now)
      continue;
    Duration age = now - vm.AsOf;
    // This VM knows its own state; other VMs that fell silent may be gone.
    if (age > VmSilenceLimit && vm.Name != query.Self)
      continue;
    Owner owner;
    owner.Vm = &vm;
    Group group = OwnRegion;
    if (vm.Region == query.Region) {
      if (!ownAllowed)
        continue;
      if (vm.Zone == query.Zone)
        group = OwnZone;
    } else {
      auto region = std::find_if(
          regions.begin(), regions.end(),
          [&](const RegionChoice &it) { return it.Spec->Name == vm.Region; });
      if (region == regions.end() || !region->Usable)
        continue;
      group = OtherRegion;
      owner.Delay = region->Delay;
    }
    PublishedLoad load = loadOf(vm, query);
    if (load.TotalSlots <= 0)
      continue;
    owner.Free = agedFreeSlots(load.FreeSlots, age);
    owner.Tie = (query.RandomA ^ ++number) * 0x9e3779b97f4a7c15ULL;
    if (owner.Free <= 0) {
      // A full owner of another region is not worth the way.
      if (group == OtherRegion)
        continue;
      owner.Free = -static_cast<double>(load.Queued) / load.TotalSlots;
      owner.Delay = Duration(group == OwnZone ? 0 : 1);
      group = owner.Free > -1 ? ShortQueue : LongQueue;
    }
    groups[group].push_back(owner);
  }
  std::vector<PlacementChoice> choices;
  for (int group = OwnZone; group < GroupCount; ++group) {
    orderOwners(groups[group], query);
    for (const Owner &owner : groups[group]) {
      if (choices.size() == MaxPlacementOwners)
        return choices;
      choices.push_back({owner.Vm->Name, group == OtherRegion,
                         std::string(GroupNames[group]) + ", " +
                             std::to_string(static_cast<int>(
                                 std::max(owner.Free, 0.0) * 100)) +
                             "% of a slot free"});
    }
  }
  return choices;
}

} // namespace savorylb
