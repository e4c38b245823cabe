#ifndef SAVORYLB_SAVORYLBD_KEY_FRESHNESS_H
#define SAVORYLB_SAVORYLBD_KEY_FRESHNESS_H

namespace savorylb {

struct Daemon;

/// Works out anew whether keys may be relied on; called on each tick.
void tickKeyFreshness(Daemon &daemon);

/// \returns true when keyed requests are served.
bool keysInForce(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_KEY_FRESHNESS_H
