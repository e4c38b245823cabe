// The part of VmDaemon that handles a store that came back from an older copy
// of itself.
#include "savorylb/event_log.h"
#include "vm_daemon.h"

namespace savorylb {

void VmDaemon::onStoreEra(StoreEra era) {
  if (era <= Era)
    return;
  if (isListed(OperatorSync.mirror()) && !KnownBeforeEra)
    KnownBeforeEra = OperatorSync.mirror().KnownRevision;
  Era = era;
  // Deferred, since the caller has not processed its answer yet.
  asio::post(Io, [this, era] {
    for (StoreSync *it : {&OperatorSync, &TargetSync, &SystemSync})
      it->enterEra(era);
    Registration.enterEra(era);
  });
}

void VmDaemon::logNewEra() {
  const StorePosition &known = OperatorSync.mirror().KnownRevision;
  if (!KnownBeforeEra || known.Era <= KnownBeforeEra->Era)
    return;
  logEvent(EventCode::StoreRestored, {{"old_era", KnownBeforeEra->Era.Value},
                                      {"era", known.Era.Value},
                                      {"known", KnownBeforeEra->Number.Value},
                                      {"revision", known.Number.Value}});
  KnownBeforeEra.reset();
}

} // namespace savorylb
