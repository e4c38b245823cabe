#ifndef SAVORYLB_VERSION_CHOICE_H
#define SAVORYLB_VERSION_CHOICE_H

#include "savorylb/units.h"

#include <cstdint>

namespace savorylb {

/// Error diffusion: after n choices at a steady share at most ceil(n * share)
/// went to the new version, in every window and so in the sum of all VMs.
struct VersionChoice {
  /// Accumulated right to the new version, in ppm.
  std::int64_t Accumulator = 0;
};

/// \param choice the state of one route.
/// \param share share of the new version.
/// \returns true when this request goes to the new version.
bool chooseNewVersion(VersionChoice &choice, Ppm share);

/// Chooses for one route of a VM so that the bound holds for the route and for
/// all routes of the VM together: a request goes to the new version only when
/// both accumulators are due.
/// \param vm the state of the whole VM.
/// \param route the state of the request's route.
/// \param share share of the new version.
/// \returns true when this request goes to the new version.
bool chooseNewVersion(VersionChoice &vm, VersionChoice &route, Ppm share);

} // namespace savorylb

#endif // SAVORYLB_VERSION_CHOICE_H
