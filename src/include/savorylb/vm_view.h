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

/// A VM that was not heard from for this long gets no requests from other VMs
/// and is only a last resort in lookups.
constexpr Duration VmSilenceLimit = Seconds(3);

/// State of a VM as known to this daemon, with the time of each part. Lists of
/// views include this VM.
struct VmView {
  VmId Name;
  Incarnation VmIncarnation;
  ZoneId Zone;
  RegionId Region;
  std::string PeerEndpoint;
  std::string CallerEndpoint;
  bool Departing = false;
  /// Time at which the state below was valid, on this daemon's clock.
  MonoTime AsOf{};
  std::map<std::pair<ServiceId, VersionId>, PublishedLoad> Loads;
  std::map<TeamId, MicroTokens> Tokens;
  /// Last contact with the store by this VM or by a VM that it heard from.
  MonoTime StoreContactAt{};
  bool StoreContact = false;
  /// Consecutive failed calls to the VM, and the time of the next attempt.
  int CallFailures = 0;
  MonoTime RetryAt{};
  /// Whether the VM accepts VmBrief messages, which omit the fields that the
  /// receiver already holds.
  bool TakesBriefs = false;
  /// Hash of the fields that a VmBrief omits; 0 when it is not set.
  std::uint32_t BriefId = 0;
};

} // namespace savorylb

#endif // SAVORYLB_VM_VIEW_H
