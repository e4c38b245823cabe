#ifndef SAVORYLB_SAVORYLBD_STORE_WATCH_H
#define SAVORYLB_SAVORYLBD_STORE_WATCH_H

namespace savorylb {

struct Daemon;

/// \returns whether this VM is one of the few in its zone that watch all
/// documents and poll the platform's VM list each second.
bool watchesAllDocuments(Daemon &daemon);

/// Watches the store until the daemon stops; runs in a thread of its own.
void watchStore(Daemon &daemon);

/// Reads the platform's VM list once. If the settings say so, a VM that has
/// been missing from the list for some time is recorded as proved dead.
void pollVmList(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_STORE_WATCH_H
