#include "key_freshness.h"

#include "daemon.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"

#include <algorithm>

namespace savorylb {
namespace {

/// A zone counts as reached when the known state of one of its VMs is at most
/// this old.
constexpr Duration ZoneSilenceLimit = Seconds(5);

KeyFreshness measureFreshness(Daemon &daemon) {
  MonoTime now = monoNow();
  VmViews vms = knownVms(daemon);
  KeyFreshness freshness;
  MonoTime newest{};
  std::set<ZoneId> reached;
  for (const VmView &it : *vms) {
    newest = std::max(newest, it.StoreContactAt);
    if (now - it.AsOf > ZoneSilenceLimit)
      continue;
    reached.insert(it.Zone);
    freshness.AnyStoreContact = freshness.AnyStoreContact || it.StoreContact;
  }
  freshness.Age = now - newest;
  SnapshotPtr snapshot = currentSnapshot(daemon);
  std::vector<ZoneId> zones = allZones(snapshot->Conf);
  freshness.OtherZonesReached =
      std::all_of(zones.begin(), zones.end(), [&](const ZoneId &it) {
        return it == daemon.Conf.Zone || reached.count(it) > 0;
      });
  return freshness;
}

} // namespace

void tickKeyFreshness(Daemon &daemon) {
  KeyFreshness freshness = measureFreshness(daemon);
  bool usable = keysUsable(freshness, daemon.Conf.KeyStalenessLimit);
  if (daemon.KeysUsable.exchange(usable) == usable)
    return;
  logEvent(usable ? EventCode::KeysFresh : EventCode::KeysStale,
           {{"age_us", freshness.Age.count()},
            {"other_zones_reached", freshness.OtherZonesReached},
            {"any_store_contact", freshness.AnyStoreContact}});
}

bool areKeysUsable(Daemon &daemon) { return daemon.KeysUsable; }

} // namespace savorylb
