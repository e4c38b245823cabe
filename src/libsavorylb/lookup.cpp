#include "savorylb/lookup.h"

#include "savorylb/hash.h"
#include "savorylb/headroom.h"
#include "savorylb/lookup_index.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>
#include <vector>

namespace savorylb {

namespace {

// A VM without published slots still accepts requests and forwards them, so it
// is treated as half free.
constexpr double UnknownHeadroom = 0.5;
// Lower bound of a VM's weight, so that VMs without headroom are still spread
// by their hash within their class instead of always coming last in it.
constexpr double MinHeadroom = 0.05;

// Exceeds any distance between a caller and a region.
constexpr Duration SaturationPenalty = Seconds(3600);
// Regions without a configured distance from the site come last.
constexpr Duration UnknownDistance = Seconds(60);

enum Tier { Normal, Draining, LastResort };

struct Candidate {
  const IndexedVm *Vm = nullptr;
  Tier Rank = Normal;
  bool Full = false;
  double Headroom = 0;
  /// Distance reported in the answer, and the same with the penalty of a
  /// saturated region.
  Duration Distance{};
  Duration SortDistance{};
  double Score = 0;
};

// Among candidates that are equal otherwise, the score spreads the callers.
bool isBetter(const Candidate &a, const Candidate &b) {
  if (a.Rank != b.Rank)
    return a.Rank < b.Rank;
  if (a.SortDistance != b.SortDistance)
    return a.SortDistance < b.SortDistance;
  if (a.Full != b.Full)
    return b.Full;
  return a.Score > b.Score;
}

// Weighted rendezvous hashing: a caller keeps its VM while the weights are
// unchanged, and VMs get callers in proportion to their headroom.
double rendezvousScore(std::uint64_t nameHash, std::uint64_t clientHash,
                       double weight) {
  std::uint64_t h = nameHash ^ clientHash;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ULL;
  h ^= h >> 33;
  // The divisor is 2^53: u is the upper 53 bits of the hash as a fraction of
  // one.
  double u = (static_cast<double>(h >> 11) + 0.5) / 9007199254740992.0;
  return -weight / std::log(u);
}

// Keeps the best candidates in order without sorting all VMs.
struct TopCandidates {
  std::array<Candidate, MaxLookupVms> Items;
  std::size_t Count = 0;

  void add(const Candidate &candidate) {
    if (Count == Items.size() && !isBetter(candidate, Items[Count - 1]))
      return;
    std::size_t at = Count < Items.size() ? Count++ : Count - 1;
    while (at > 0 && isBetter(candidate, Items[at - 1])) {
      Items[at] = Items[at - 1];
      --at;
    }
    Items[at] = candidate;
  }
};

void evaluateVm(Candidate &candidate, const IndexedRegion &region,
                const PublishedLoad *load, MonoTime now) {
  const IndexedVm &vm = *candidate.Vm;
  Duration age = now - vm.AsOf;
  candidate.Headroom = UnknownHeadroom;
  if (load && load->TotalSlots > 0) {
    candidate.Headroom =
        std::min(1.0, agedFreeSlots(load->FreeSlots, age) / load->TotalSlots);
    candidate.Full = load->FreeSlots <= 0;
  }
  if (vm.Departing || age > VmSilenceLimit)
    candidate.Rank = LastResort;
  else
    candidate.Rank = region.Draining ? Draining : Normal;
}

// Returns whether the region has slots but none is free. For a service with
// spill, such a region sorts after the others that are not draining.
bool isSaturated(const std::vector<PublishedLoad> &loads) {
  int total = 0;
  int freeSlots = 0;
  for (const PublishedLoad &load : loads) {
    total += load.TotalSlots;
    freeSlots += std::max(load.FreeSlots, 0);
  }
  return total > 0 && freeSlots == 0;
}

// A region with its loads and its distance for one caller.
struct RegionView {
  const IndexedRegion *Region = nullptr;
  const std::vector<PublishedLoad> *Loads = nullptr;
  Duration Distance{};
  Duration SortDistance{};
};

std::vector<RegionView> sortRegions(const LookupIndex &index,
                                    const SiteSpec *site,
                                    const ServiceId &service) {
  auto spill = index.Spill.find(service);
  bool maySpill = spill == index.Spill.end() || spill->second;
  std::vector<RegionView> out;
  out.reserve(index.Regions.size());
  for (const IndexedRegion &region : index.Regions) {
    RegionView view;
    view.Region = &region;
    view.Distance = site ? UnknownDistance : Duration(0);
    if (site) {
      auto distance = site->Distance.find(region.Name);
      if (distance != site->Distance.end())
        view.Distance = distance->second;
    }
    view.SortDistance = view.Distance;
    auto found = region.Loads.find(service);
    if (found != region.Loads.end()) {
      view.Loads = &found->second.PerVm;
      if (maySpill && found->second.Saturated)
        view.SortDistance += SaturationPenalty;
    }
    out.push_back(view);
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const RegionView &a, const RegionView &b) {
                     if (a.Region->Draining != b.Region->Draining)
                       return b.Region->Draining;
                     return a.SortDistance < b.SortDistance;
                   });
  return out;
}

// Evaluates VMs of one region and adds them to the top candidates.
struct RegionScan {
  const RegionView &View;
  std::uint64_t ClientHash;
  MonoTime Now;
  TopCandidates &Best;
  /// Number of evaluated VMs that accept new callers and have free slots.
  std::size_t WithFreeSlots = 0;

  void evaluate(std::size_t at) {
    Candidate candidate;
    candidate.Vm = &View.Region->Vms[at];
    candidate.Distance = View.Distance;
    candidate.SortDistance = View.SortDistance;
    evaluateVm(candidate, *View.Region,
               View.Loads ? &(*View.Loads)[at] : nullptr, Now);
    candidate.Score =
        rendezvousScore(candidate.Vm->NameHash, ClientHash,
                        std::max(candidate.Headroom, MinHeadroom));
    if (candidate.Rank != LastResort && !candidate.Full)
      ++WithFreeSlots;
    Best.add(candidate);
  }

  // The window of a caller starts at the position of its hash among the VMs
  // sorted by hash. A VM that joins or leaves shifts it by only one or two
  // positions, so most callers keep their VM, and each VM is in equally many
  // windows.
  void run() {
    std::size_t usable = View.Region->UsableCount;
    std::size_t count = std::min(usable, LookupWindow);
    std::size_t start =
        usable > LookupWindow ? (ClientHash >> 32) * usable >> 32 : 0;
    for (std::size_t i = 0; i < count; ++i)
      evaluate((start + i) % usable);
    if (usable > LookupWindow && WithFreeSlots >= MaxLookupVms)
      return;
    for (std::size_t i = count; i < usable; ++i)
      evaluate((start + i) % usable);
    for (std::size_t i = usable; i < View.Region->Vms.size(); ++i)
      evaluate(i);
  }
};

// The ranking cannot change any more when the list is full, all its VMs have
// rank Normal, and the region is draining or farther than all of them.
bool isRankingFinal(const TopCandidates &best, const RegionView &view) {
  if (best.Count < best.Items.size())
    return false;
  const Candidate &last = best.Items[best.Count - 1];
  return last.Rank == Normal &&
         (view.Region->Draining || last.SortDistance < view.SortDistance);
}

std::string describe(const Candidate &best) {
  static const char *const names[] = {"nearest region", "draining region",
                                      "last resort"};
  int percent = static_cast<int>(best.Headroom * 100);
  return std::string(names[best.Rank]) + " " + best.Vm->Answer.Region.Value +
         ", headroom " + std::to_string(percent) + "%";
}

} // namespace

LookupAnswer lookUp(const LookupIndex &index, const BlockTable &blocks,
                    const LookupQuery &query, MonoTime now) {
  const SiteSpec *site = findSite(blocks, query.ClientAddress);
  // The whole address is hashed instead of its block, because a block may
  // contain most of the callers, and these must not all get the same first VM.
  std::uint64_t clientHash =
      (query.ClientAddress + 1ULL) * 0x9e3779b97f4a7c15ULL;
  TopCandidates best;
  for (const RegionView &view : sortRegions(index, site, query.Service))
    if (!isRankingFinal(best, view))
      RegionScan{view, clientHash, now, best}.run();
  LookupAnswer answer;
  for (std::size_t i = 0; i < best.Count; ++i) {
    const Candidate &item = best.Items[i];
    // VMs of a lower tier are used only to reach two VMs.
    if (item.Rank != Normal && i >= 2)
      break;
    answer.Vms.push_back(item.Vm->Answer);
    answer.Vms.back().Distance = item.Distance;
  }
  if (!answer.Vms.empty()) {
    answer.IdentityPrefix = answer.Vms.front().Zone.Value + ":";
    answer.Reason = describe(best.Items[0]);
  }
  return answer;
}

LookupIndex makeLookupIndex(const Config &config,
                            const std::vector<VmView> &vms) {
  LookupIndex index;
  std::map<RegionId, std::size_t> numbers;
  auto regionAt = [&](const RegionId &name) -> IndexedRegion & {
    auto added = numbers.emplace(name, index.Regions.size());
    if (added.second) {
      index.Regions.emplace_back();
      index.Regions.back().Name = name;
    }
    return index.Regions[added.first->second];
  };
  for (const RegionSpec &region : config.Regions)
    regionAt(region.Name).Draining = region.Draining;
  for (const ServiceSpec &service : config.Services)
    index.Spill[service.Name] = service.Spill;
  // The newest view stands in for the current time.
  MonoTime newest{};
  for (const VmView &vm : vms)
    newest = std::max(newest, vm.AsOf);
  struct Item {
    bool Usable;
    std::uint64_t NameHash;
    const VmView *Vm;
  };
  std::vector<Item> items;
  items.reserve(vms.size());
  for (const VmView &vm : vms)
    items.push_back({!vm.Departing && newest - vm.AsOf <= VmSilenceLimit,
                     stableHash(vm.Name.Value), &vm});
  std::sort(items.begin(), items.end(), [](const Item &a, const Item &b) {
    return a.Usable != b.Usable ? a.Usable : a.NameHash < b.NameHash;
  });
  for (const auto &[usable, hash, vm] : items) {
    IndexedRegion &region = regionAt(vm->Region);
    region.UsableCount += usable ? 1 : 0;
    IndexedVm item;
    item.Answer.Name = vm->Name;
    item.Answer.CallerEndpoint = vm->CallerEndpoint;
    item.Answer.Zone = vm->Zone;
    item.Answer.Region = vm->Region;
    item.NameHash = hash;
    item.Departing = vm->Departing;
    item.AsOf = vm->AsOf;
    region.Vms.push_back(std::move(item));
    for (const auto &load : vm->Loads) {
      auto &loads = region.Loads[load.first.first].PerVm;
      loads.resize(region.Vms.size());
      loads.back().FreeSlots += load.second.FreeSlots;
      loads.back().TotalSlots += load.second.TotalSlots;
      loads.back().Queued += load.second.Queued;
    }
  }
  for (IndexedRegion &region : index.Regions)
    for (auto &[service, loads] : region.Loads) {
      loads.PerVm.resize(region.Vms.size());
      loads.Saturated = isSaturated(loads.PerVm);
    }
  return index;
}

LookupAnswer lookUp(const Config &config, const BlockTable &blocks,
                    const std::vector<VmView> &vms, const LookupQuery &query,
                    MonoTime now) {
  return lookUp(makeLookupIndex(config, vms), blocks, query, now);
}

} // namespace savorylb
