#ifndef SAVORYLB_ACTIVE_VERSION_H
#define SAVORYLB_ACTIVE_VERSION_H

#include "savorylb/rollout.h"
#include "savorylb/service.h"

namespace savorylb {

/// Chooses the version that serves a service without a configured rollout.
///
/// The last rollout decides: its new version if it is done, otherwise its old
/// version, also when its entry was removed before it finished. If that version
/// has no targets any more, the lowest version that was never rolled back is
/// chosen, or the lowest version if all were rolled back. Targets without a
/// version serve only while no target has one.
/// \param record state of the last rollout of the service, null if none.
/// \returns the version; empty when no target has a version.
VersionId activeVersion(const ServiceSpec &service,
                        const RolloutRecord *record);

} // namespace savorylb

#endif // SAVORYLB_ACTIVE_VERSION_H
