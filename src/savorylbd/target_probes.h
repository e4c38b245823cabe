#ifndef SAVORYLB_SAVORYLBD_TARGET_PROBES_H
#define SAVORYLB_SAVORYLBD_TARGET_PROBES_H

namespace savorylb {

struct Daemon;

/// Reads health and load of the owned targets that are due.
/// \param daemon the daemon.
/// \param worker number of this probe thread.
/// \param workers number of probe threads.
void probeTargets(Daemon &daemon, int worker, int workers);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_TARGET_PROBES_H
