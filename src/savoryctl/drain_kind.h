#ifndef SAVORYCTL_DRAIN_KIND_H
#define SAVORYCTL_DRAIN_KIND_H

namespace savorylb {

/// What the `draining` field of the configuration is set on.
enum class DrainKind { Target, Region };

} // namespace savorylb

#endif // SAVORYCTL_DRAIN_KIND_H
