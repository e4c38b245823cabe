#ifndef SAVORYLB_VM_VIEW_H
#define SAVORYLB_VM_VIEW_H

#include "savorylb/ids.h"
#include "savorylb/published_load.h"
#include "savorylb/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace savorylb {

/// A VM that was not heard of for this long is left out of lookups.
constexpr Duration VmSilenceLimit = Seconds(3);

/// What this daemon knows of another VM, with the age of the knowledge.
struct VmView {
  VmId Name;
  Incarnation Life;
  ZoneId Zone;
  RegionId Region;
  std::string PeerEndpoint;
  std::string CallerEndpoint;
  bool Departing = false;
  /// When the state below was true, on this daemon's clock.
  MonoTime AsOf{};
  std::map<std::pair<ServiceId, VersionId>, PublishedLoad> Loads;
  std::map<TeamId, MicroTokens> Tokens;
  /// When this VM or one that it heard of last reached the store.
  MonoTime StoreContactAt{};
  bool StoreContact = false;
  /// Failures in a row of calls to it, and when to try again.
  int CallFailures = 0;
  MonoTime RetryAt{};
  /// Whether it reads briefs, and the id of this state in them.
  bool TakesBriefs = false;
  std::uint32_t BriefId = 0;
};

} // namespace savorylb

#endif // SAVORYLB_VM_VIEW_H
