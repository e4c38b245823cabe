#ifndef SAVORYLB_SAVORYLBD_CONTROL_LOOP_H
#define SAVORYLB_SAVORYLBD_CONTROL_LOOP_H

#include <thread>
#include <vector>

namespace savorylb {

struct Daemon;

/// The background threads of a daemon.
using ControlThreads = std::vector<std::thread>;

/// Starts all background threads; they end after Daemon::Stopping is set.
ControlThreads startControlThreads(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_CONTROL_LOOP_H
