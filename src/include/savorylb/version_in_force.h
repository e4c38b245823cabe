#ifndef SAVORYLB_VERSION_IN_FORCE_H
#define SAVORYLB_VERSION_IN_FORCE_H

#include "savorylb/rollout.h"
#include "savorylb/service.h"

namespace savorylb {

/// Chooses the one version that serves a service without a configured rollout.
///
/// The last rollout decides: its new version when it is done, else its old one,
/// also when it was removed while under way. Where that version has no targets
/// any more, the lowest version that was never taken back is chosen, and any
/// version rather than none. Targets without a version serve only while no
/// target has one.
/// \param service the service as configured.
/// \param record state of its last rollout, null when it had none.
/// \returns the version; empty when the targets have no versions.
VersionId versionInForce(const ServiceSpec &service,
                         const RolloutRecord *record);

} // namespace savorylb

#endif // SAVORYLB_VERSION_IN_FORCE_H
