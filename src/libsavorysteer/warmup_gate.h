#ifndef SAVORYLB_WARMUP_GATE_H
#define SAVORYLB_WARMUP_GATE_H

#include "target_state.h"

#include <vector>

namespace savorylb {

/// A VM that may send to cold targets.
struct WarmupSender {
  VmId Vm;
  RegionId Region;
};

/// Chooses the only VM that sends to a cold target, so that the target's rate
/// limit holds over all VMs without messages. While VMs disagree on which VMs
/// are live, two may send. Each sends at about 0.8 times the rate that the
/// target can serve, which is about half of the 1.5 times allowed over all VMs.
/// \param vms the live VMs.
/// \returns the VM; one of the target's region if there is any.
VmId warmupSender(const TargetState &target,
                  const std::vector<WarmupSender> &vms);

/// Takes a token for a request to a cold target.
/// \param perSecond requests per second that the target can serve.
/// \returns whether a token was available.
bool takeWarmupToken(TargetState &target, double perSecond, MonoTime now);

/// \returns whether a token is available; takes none.
bool hasWarmupToken(const TargetState &target, double perSecond, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_WARMUP_GATE_H
