#include "store_watch.h"

#include "daemon.h"
#include "heartbeat.h"
#include "savorylb/clock.h"

#include <algorithm>
#include <random>
#include <thread>

namespace savorylb {
namespace {

/// Longest wait of one watch request. Each response also confirms that the
/// store can be reached, which bounds the age of the keys.
constexpr Duration WatchWait = Seconds(2);
/// Number of VMs in a zone that watch all documents. The others learn of
/// changes by heartbeats, so that a changed owner map does not wake all VMs of
/// the fleet.
constexpr std::size_t WatchersPerZone = 4;
/// Longest wait of a watch of the keys alone. The other VMs watch them, since a
/// revoked key must be refused within 3 s; the wait keeps the age of the keys
/// far below its limit of 30 s.
constexpr Duration KeysWatchWait = Seconds(10);
/// When no other VM has reported contact with the store for this time, a VM
/// that reaches the store watches all documents itself.
constexpr Duration WatcherSilenceLimit = Seconds(6);
/// After more unchanged responses in a row than this, everything under the
/// watched prefix is read again, because no change in the store would trigger a
/// retry of a failed repair or of a part that could not be read. For a VM that
/// watches all documents the next read is within 6 s (WatchWait of 2 s).
constexpr int MaxUnchangedAnswers = 2;
/// Pause after a change. At the start of a fleet changes follow each other
/// closely, and one response then contains several of them.
constexpr Duration ChangePause = Millis(100);
constexpr Duration InitialBackoff = Millis(100);
constexpr Duration MaxBackoff = Seconds(2);
/// A VM counts as removed when it has been missing from the platform's list for
/// this time, which exceeds the delay of the list.
constexpr Duration ListRemovalTime = Seconds(60);

/// \returns a random time from half the given one to all of it, so that daemons
/// that lost the store together do not retry together.
Duration jittered(Duration span) {
  static thread_local std::mt19937_64 random(std::random_device{}());
  std::uniform_int_distribution<std::int64_t> spread(span.count() / 2,
                                                     span.count());
  return Duration(spread(random));
}

void sleepUnlessStopping(Daemon &daemon, Duration span) {
  MonoTime until = monoNow() + span;
  while (!daemon.Stopping && monoNow() < until)
    std::this_thread::sleep_for(std::min<Duration>(span, Millis(50)));
}

/// Fetches the parts, which must be received before the index that activates
/// them. VMs that watch only the keys read them from peers.
void fetchListedBlocks(Daemon &daemon, const StoreListing &listing) {
  auto index = listing.Values.find(BlockIndexKey);
  if (index != listing.Values.end() && watchesAllDocuments(daemon))
    fetchBlockParts(daemon, index->second.Content);
}

void receiveListing(Daemon &daemon, const StoreListing &listing) {
  // A new daemon must know which versions were rolled back before it applies
  // the configuration; all other documents refer to the configuration.
  for (DocumentOrder order : AllDocumentOrders) {
    if (order == DocumentOrder::Others)
      fetchListedBlocks(daemon, listing);
    for (const auto &[key, value] : listing.Values)
      if (documentOrder(key) == order)
        receiveDocument(daemon, key, value.Content, value.ModifyIndex,
                        DocumentSource::Store);
  }
}

/// \returns the members of the own zone that were last in the platform's list
/// ListRemovalTime ago or earlier.
std::vector<std::pair<VmId, Incarnation>> unlistedMembers(Daemon &daemon,
                                                          MonoTime now) {
  ZoneDocument doc;
  {
    std::lock_guard<std::mutex> guard(daemon.Membership.Lock);
    doc = daemon.Membership.Doc;
  }
  std::vector<std::pair<VmId, Incarnation>> unlisted;
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  for (const auto &[vm, member] : doc.Members) {
    auto it = daemon.Peers.LastListed.find(vm);
    if (it != daemon.Peers.LastListed.end() &&
        now - it->second >= ListRemovalTime)
      unlisted.emplace_back(vm, member.VmIncarnation);
  }
  return unlisted;
}

/// \returns whether another VM reported contact with the store within
/// VmSilenceLimit.
bool othersReachStore(Daemon &daemon) {
  MonoTime now = monoNow();
  VmViews vms = knownVms(daemon);
  return std::any_of(vms->begin(), vms->end(), [&](const VmView &it) {
    return it.Name != daemon.Conf.Vm && it.StoreContact &&
           now - it.AsOf <= VmSilenceLimit;
  });
}

} // namespace

bool watchesAllDocuments(Daemon &daemon) {
  MonoTime now = monoNow();
  VmViews vms = knownVms(daemon);
  std::size_t rank = 0;
  for (const VmView &it : *vms)
    if (it.Zone == daemon.Conf.Zone && it.Name < daemon.Conf.Vm &&
        !it.Departing && now - it.AsOf <= VmSilenceLimit)
      ++rank;
  return rank < WatchersPerZone;
}

void watchStore(Daemon &daemon) {
  std::uint64_t index = 0;
  Duration backoff = InitialBackoff;
  MonoTime lastListed{};
  MonoTime otherContactAt{};
  bool watchedAll = true;
  int unchanged = 0;
  while (!daemon.Stopping) {
    MonoTime askedAt = monoNow();
    if (othersReachStore(daemon))
      otherContactAt = askedAt;
    bool all = lastListed == MonoTime{} || watchesAllDocuments(daemon) ||
               askedAt - otherContactAt > WatcherSilenceLimit;
    if (all != watchedAll)
      index = 0;
    watchedAll = all;
    Result<StoreListing> listing =
        all ? daemon.Store.List(DocumentPrefix, index, WatchWait)
            : daemon.Store.List(KeysKey, index, KeysWatchWait);
    updateStoreContact(daemon, listing.has_value(), askedAt);
    if (!listing) {
      index = 0;
      // After an outage of the store, allow time to receive heartbeats of the
      // watching VMs.
      otherContactAt = monoNow();
      sleepUnlessStopping(daemon, jittered(backoff));
      backoff = std::min(backoff * 2, MaxBackoff);
      continue;
    }
    backoff = InitialBackoff;
    if (all)
      lastListed = askedAt;
    // The index of a store that was restored may be lower than before.
    index = listing.value().Index < index ? 0 : listing.value().Index;
    if (listing.value().Unchanged) {
      // The next request has index 0: it does not wait and reads everything.
      if (++unchanged > MaxUnchangedAnswers)
        index = unchanged = 0;
      continue;
    }
    unchanged = 0;
    receiveListing(daemon, listing.value());
    // The index is 0 when the store's index went back, as after a restore:
    // everything is then read again after about 500 ms.
    sleepUnlessStopping(daemon,
                        index == 0 ? jittered(Millis(500)) : ChangePause);
  }
}

void pollVmList(Daemon &daemon) {
  if (!daemon.VmList.Read)
    return;
  Result<VmListing> listing = daemon.VmList.Read();
  if (!listing)
    return;
  MonoTime now = monoNow();
  {
    std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
    PeerDirectory &peers = daemon.Peers;
    // Ignores a list that is older than the last one.
    if (listing.value().Version < peers.ListVersion)
      return;
    peers.ListVersion = listing.value().Version;
    peers.ListedDeparting.clear();
    peers.ListedEndpoints.clear();
    for (const ListedVm &it : listing.value().Vms) {
      if (it.Departing)
        peers.ListedDeparting.insert(it.Name);
      peers.ListedEndpoints[it.Name] = it.Address;
      peers.LastListed[it.Name] = now - listing.value().Age;
    }
  }
  if (!daemon.Conf.VmListRemovalProvesStop)
    return;
  for (const auto &[vm, incarnation] : unlistedMembers(daemon, now))
    recordProofOfDeath(daemon, vm, incarnation);
}

} // namespace savorylb
