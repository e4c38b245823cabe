#ifndef SAVORYCTL_DRAIN_KIND_H
#define SAVORYCTL_DRAIN_KIND_H

namespace savorylb {

/// What a drain in the configuration applies to.
enum class DrainKind { Target, Region };

} // namespace savorylb

#endif // SAVORYCTL_DRAIN_KIND_H
