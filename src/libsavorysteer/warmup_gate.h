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

/// Names the one VM that sends to a cold target, so that the rate of the fleet
/// holds without messages. While VMs differ on who lives, two may send; the
/// rate of each is half of the bound.
/// \param target the cold target.
/// \param vms the VMs that live.
/// \returns the VM; one of the target's region if there is one.
VmId warmupSender(const TargetState &target,
                  const std::vector<WarmupSender> &vms);

/// Takes one of the requests that this VM may send to a cold target.
/// \param target the cold target.
/// \param perSecond requests a second that the target bears.
/// \param now the current time.
/// \returns whether there was one.
bool takeWarmupToken(TargetState &target, double perSecond, MonoTime now);

/// \returns whether a token would be there.
bool hasWarmupToken(const TargetState &target, double perSecond, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_WARMUP_GATE_H
