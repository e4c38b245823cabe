#ifndef SAVORYLB_SAVORYLBD_KEY_FRESHNESS_H
#define SAVORYLB_SAVORYLBD_KEY_FRESHNESS_H

namespace savorylb {

struct Daemon;

/// Updates whether the known keys may be used; called on each tick.
void tickKeyFreshness(Daemon &daemon);

/// \returns true when requests with a key are served.
bool areKeysUsable(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_KEY_FRESHNESS_H
