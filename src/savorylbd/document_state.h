#ifndef SAVORYLB_SAVORYLBD_DOCUMENT_STATE_H
#define SAVORYLB_SAVORYLBD_DOCUMENT_STATE_H

#include "block_state.h"
#include "document_order.h"
#include "document_source.h"
#include "savorylb/document_cache.h"
#include "savorylb/units.h"
#include "savorylb/zone_document.h"
#include "snapshot.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace savorylb {

struct Daemon;

inline constexpr char DocumentPrefix[] = "savory/v1/";
inline constexpr char ConfigKey[] = "savory/v1/config";
inline constexpr char KeysKey[] = "savory/v1/keys";
inline constexpr char ZonesPrefix[] = "savory/v1/zones/";
inline constexpr char RolloutsPrefix[] = "savory/v1/rollouts/";

inline constexpr DocumentOrder AllDocumentOrders[] = {
    DocumentOrder::Rollouts, DocumentOrder::Config, DocumentOrder::Others};

/// Local copies of the documents in the store.
struct DocumentState {
  /// Held while a document is evaluated and applied, so that documents take
  /// effect in the order of their revisions.
  std::mutex AdoptLock;
  /// Guards the members below except Blocks.
  std::mutex Lock;
  std::map<std::string, CachedDocument> Documents;
  BlockState Blocks;
  SnapshotPtr Current = std::make_shared<Snapshot>();
  /// Owner maps of all zones, to find home VMs.
  std::map<ZoneId, std::shared_ptr<const ZoneDocument>> Zones;
  /// When the store last answered this daemon.
  MonoTime StoreContactAt{};
  bool StoreReachable = false;
  /// The store has answered at least once, so a document that is not cached
  /// does not exist there.
  bool StoreAnsweredOnce = false;
  /// Last rejected revision of each document, so that it is reported once.
  std::map<std::string, Revision> RejectedRevisions;
};

/// \returns the current configuration and keys.
SnapshotPtr currentSnapshot(Daemon &daemon);

/// Edits a copy of the configuration and keys and makes it the current one; the
/// caller holds DocumentState::AdoptLock.
void updateSnapshot(Daemon &daemon,
                    const std::function<void(Snapshot &)> &edit);

/// Adopts, ignores or rejects a received document, or writes the local copy
/// back to a store that holds an older one. Documents of other programs are
/// ignored.
/// \param key its key in the store.
/// \param storeIndex its modify index, 0 when it did not come from the store.
void receiveDocument(Daemon &daemon, const std::string &key,
                     const std::string &content, std::uint64_t storeIndex,
                     DocumentSource source);

/// \returns the local copy, with empty content when there is none.
CachedDocument heldDocument(Daemon &daemon, const std::string &key);

/// \returns the revision of the local copy, zero when there is none.
Revision heldRevision(Daemon &daemon, const std::string &key);

/// \returns the revisions of all local copies by key.
std::map<std::string, Revision> heldRevisions(Daemon &daemon);

/// Records whether the store answered a request.
/// \param askedAt when the request was sent, not when it was answered.
void updateStoreContact(Daemon &daemon, bool reached, MonoTime askedAt);

/// \returns the group in which the document with this key is applied.
DocumentOrder documentOrder(const std::string &key);

/// \returns the document key of a zone's owner map.
std::string zoneKey(const ZoneId &zone);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_DOCUMENT_STATE_H
