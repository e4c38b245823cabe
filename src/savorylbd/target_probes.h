#ifndef SAVORYLB_SAVORYLBD_TARGET_PROBES_H
#define SAVORYLB_SAVORYLBD_TARGET_PROBES_H

namespace savorylb {

struct Daemon;

/// Reads health and load of the owned targets that are assigned to a worker.
/// \param worker index of this probe thread, from 0.
/// \param workers number of probe threads.
void probeTargets(Daemon &daemon, int worker, int workers);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_TARGET_PROBES_H
