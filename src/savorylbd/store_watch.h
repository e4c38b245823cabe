#ifndef SAVORYLB_SAVORYLBD_STORE_WATCH_H
#define SAVORYLB_SAVORYLBD_STORE_WATCH_H

namespace savorylb {

struct Daemon;

/// \returns whether this VM is one of the few of its zone that watch all
/// documents and poll the VM list each second.
bool watchesAllDocuments(Daemon &daemon);

/// Watches the store until the daemon stops; runs in its own thread.
void watchStore(Daemon &daemon);

/// Reads the platform's VM list once.
void pollVmList(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_STORE_WATCH_H
