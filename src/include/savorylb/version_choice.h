#ifndef SAVORYLB_VERSION_CHOICE_H
#define SAVORYLB_VERSION_CHOICE_H

#include "savorylb/units.h"

#include <cstdint>

namespace savorylb {

/// State of error diffusion between two versions. At a constant share, at most
/// ceil(n * share) of any n consecutive choices go to the new version. The
/// bound holds on each VM, so it limits the sum over all VMs as well.
struct VersionChoice {
  /// Share not yet spent on a request to the new version, in ppm.
  std::int64_t Accumulator = 0;
};

/// Chooses between the versions for one request.
/// \returns true when this request goes to the new version.
bool chooseNewVersion(VersionChoice &choice, Ppm share);

/// Chooses between the versions so that the bound holds for the route and for
/// all routes of the VM together: a request goes to the new version only when
/// both accumulators reach a whole.
/// \param vm state over all routes of the VM.
/// \param route state of the request's route.
/// \returns true when this request goes to the new version.
bool chooseNewVersion(VersionChoice &vm, VersionChoice &route, Ppm share);

} // namespace savorylb

#endif // SAVORYLB_VERSION_CHOICE_H
