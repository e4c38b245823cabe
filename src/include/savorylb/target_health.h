#ifndef SAVORYLB_TARGET_HEALTH_H
#define SAVORYLB_TARGET_HEALTH_H

namespace savorylb {

/// What a target's health endpoint says.
enum class TargetHealth { Ready, NotReady, Draining };

} // namespace savorylb

#endif // SAVORYLB_TARGET_HEALTH_H
