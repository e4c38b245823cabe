#include "store_watch.h"

#include "daemon.h"
#include "heartbeat.h"
#include "savorylb/clock.h"

#include <algorithm>
#include <random>
#include <thread>

namespace savorylb {
namespace {

/// A waiting watch is renewed this often, which also confirms that the store
/// can be reached and bounds the age of the keys.
constexpr Duration WatchWait = Seconds(2);
/// VMs of a zone that watch all documents. The others learn of changes by
/// heartbeats, so that a changed owner map does not wake the whole fleet.
constexpr std::size_t WatchersPerZone = 4;
/// The others watch only the keys, which must stop within 3 s; the wait bounds
/// the age of the keys far below its limit of 30 s.
constexpr Duration KeysWatchWait = Seconds(10);
/// Without any watcher heard of for this long, a VM that reaches the store
/// watches all documents itself.
constexpr Duration WatcherSilence = Seconds(6);
/// Answers without a change before all documents are read again: a repair of
/// the store that failed, or a part that could not be read, leaves no change
/// to wake the watch. With a wait of 2 s that is within 6 s.
constexpr int UnchangedLimit = 2;
/// Pause after a change: the changes of a start come in quick succession, and
/// one answer brings several of them.
constexpr Duration ChangePause = Millis(100);
constexpr Duration FirstBackoff = Millis(100);
constexpr Duration LongestBackoff = Seconds(2);
/// Covers the lag of the platform's list.
constexpr Duration ListRemovalTime = Seconds(60);

/// Daemons that lost the store together must not come back together.
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

/// The parts come before the index that puts them in force. VMs that watch
/// only the keys learn them from peers.
void offerBlocks(Daemon &daemon, const StoreListing &listing) {
  auto index = listing.Values.find(BlockIndexKey);
  if (index != listing.Values.end() && watchesAllDocuments(daemon))
    fetchBlockParts(daemon, index->second.Content);
}

void offerListing(Daemon &daemon, const StoreListing &listing) {
  // A new daemon must not serve by the configuration before it knows which
  // versions were taken back; all other documents refer to the configuration.
  for (DocumentOrder order : AllDocumentOrders) {
    if (order == DocumentOrder::Others)
      offerBlocks(daemon, listing);
    for (const auto &[key, value] : listing.Values)
      if (documentOrder(key) == order)
        offerDocument(daemon, key, value.Content, value.ModifyIndex,
                      DocumentSource::Store);
  }
}

/// Members of the own zone that the platform's list dropped a while ago.
std::vector<std::pair<VmId, Incarnation>> droppedMembers(Daemon &daemon,
                                                         MonoTime now) {
  ZoneDocument doc;
  {
    std::lock_guard<std::mutex> guard(daemon.Membership.Lock);
    doc = daemon.Membership.Doc;
  }
  std::vector<std::pair<VmId, Incarnation>> dropped;
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  for (const auto &[vm, member] : doc.Members) {
    auto it = daemon.Peers.LastListed.find(vm);
    if (it != daemon.Peers.LastListed.end() &&
        now - it->second >= ListRemovalTime)
      dropped.emplace_back(vm, member.VmIncarnation);
  }
  return dropped;
}

/// \returns whether any other VM said lately that it reaches the store.
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
  std::size_t before = 0;
  for (const VmView &it : *vms)
    if (it.Zone == daemon.Conf.Zone && it.Name < daemon.Conf.Vm &&
        !it.Departing && now - it.AsOf <= VmSilenceLimit)
      ++before;
  return before < WatchersPerZone;
}

void watchStore(Daemon &daemon) {
  std::uint64_t index = 0;
  Duration backoff = FirstBackoff;
  MonoTime lastListed{};
  MonoTime watcherHeardAt{};
  bool watchedAll = true;
  int unchanged = 0;
  while (!daemon.Stopping) {
    MonoTime askedAt = monoNow();
    if (othersReachStore(daemon))
      watcherHeardAt = askedAt;
    bool all = lastListed == MonoTime{} || watchesAllDocuments(daemon) ||
               askedAt - watcherHeardAt > WatcherSilence;
    if (all != watchedAll)
      index = 0;
    watchedAll = all;
    Result<StoreListing> listing =
        all ? daemon.Store.List(DocumentPrefix, index, WatchWait)
            : daemon.Store.List(KeysKey, index, KeysWatchWait);
    noteStoreContact(daemon, listing.has_value(), askedAt);
    if (!listing) {
      index = 0;
      // After a common outage the watchers are heard of again first.
      watcherHeardAt = monoNow();
      sleepUnlessStopping(daemon, jittered(backoff));
      backoff = std::min(backoff * 2, LongestBackoff);
      continue;
    }
    backoff = FirstBackoff;
    if (all)
      lastListed = askedAt;
    // A store that was restored counts from a lower index again.
    index = listing.value().Index < index ? 0 : listing.value().Index;
    if (listing.value().Unchanged) {
      // The next call does not wait and reads all documents.
      if (++unchanged > UnchangedLimit)
        index = unchanged = 0;
      continue;
    }
    unchanged = 0;
    offerListing(daemon, listing.value());
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
    // A lagging list must not undo what a newer one said.
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
  for (const auto &[vm, life] : droppedMembers(daemon, now))
    noteProof(daemon, vm, life);
}

} // namespace savorylb
