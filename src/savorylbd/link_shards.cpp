#include "link_shards.h"

#include "daemon.h"
#include "savorylb/clock.h"

namespace savorylb {

void applyLinks(Daemon &daemon, Ppm share) {
  SnapshotPtr snapshot = currentSnapshot(daemon);
  MonoTime now = monoNow();
  std::lock_guard<std::mutex> guard(daemon.Links.Lock);
  for (const LinkSpec &it : snapshot->Conf.Links) {
    const RegionId &own = daemon.Conf.Region;
    if (it.From != own && it.To != own)
      continue;
    const RegionId &remote = it.From == own ? it.To : it.From;
    setLinkShare(daemon.Links.Budgets[remote], it.BytesPerSecond.Value, share,
                 now);
  }
}

bool reserveLink(Daemon &daemon, const RegionId &region, std::int64_t bytes) {
  if (!mayUseOwnedResources(daemon))
    return false;
  std::lock_guard<std::mutex> guard(daemon.Links.Lock);
  auto it = daemon.Links.Budgets.find(region);
  // Between regions without a configured link, there is no known capacity to
  // protect.
  return it == daemon.Links.Budgets.end() ||
         reserveBytes(it->second, bytes, monoNow());
}

void settleLink(Daemon &daemon, const RegionId &region, std::int64_t reserved,
                std::int64_t actual) {
  std::lock_guard<std::mutex> guard(daemon.Links.Lock);
  auto it = daemon.Links.Budgets.find(region);
  if (it != daemon.Links.Budgets.end())
    settleBytes(it->second, reserved, actual, monoNow());
}

} // namespace savorylb
