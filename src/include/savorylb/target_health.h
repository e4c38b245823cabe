#ifndef SAVORYLB_TARGET_HEALTH_H
#define SAVORYLB_TARGET_HEALTH_H

namespace savorylb {

/// State that a target's health endpoint reports.
enum class TargetHealth { Ready, NotReady, Draining };

} // namespace savorylb

#endif // SAVORYLB_TARGET_HEALTH_H
