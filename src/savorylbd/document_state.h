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

/// The documents of the store as this daemon holds them.
struct DocumentState {
  /// Held while a document is judged and applied, so that documents take
  /// effect in the order of their revisions.
  std::mutex AdoptLock;
  std::mutex Lock;
  std::map<std::string, CachedDocument> Documents;
  BlockState Blocks;
  SnapshotPtr Current = std::make_shared<Snapshot>();
  /// Owner maps of all zones, to find home VMs.
  std::map<ZoneId, std::shared_ptr<const ZoneDocument>> Zones;
  /// Last time this daemon reached the store.
  MonoTime StoreContactAt{};
  bool StoreReachable = false;
  /// The store was listed at least once, so a missing document is known to be
  /// missing.
  bool ListedOnce = false;
  /// Revisions that were refused, to report each once.
  std::map<std::string, Revision> Rejected;
};

/// \returns the configuration and keys in force.
SnapshotPtr currentSnapshot(Daemon &daemon);

/// Changes a copy of the configuration and keys and puts it in force; needs
/// DocumentState::AdoptLock.
void editSnapshot(Daemon &daemon, const std::function<void(Snapshot &)> &edit);

/// Adopts, ignores, repairs or rejects a document.
/// \param daemon the daemon.
/// \param key its key in the store.
/// \param content its content.
/// \param storeIndex its modify index, 0 when not from the store.
/// \param source where it came from.
void offerDocument(Daemon &daemon, const std::string &key,
                   const std::string &content, std::uint64_t storeIndex,
                   DocumentSource source);

/// \returns the held copy, without content when there is none.
CachedDocument heldDocument(Daemon &daemon, const std::string &key);

/// \returns the revision of the held copy, zero when there is none.
Revision heldRevision(Daemon &daemon, const std::string &key);

/// \returns key and revision of all held documents.
std::map<std::string, Revision> heldRevisions(Daemon &daemon);

/// Records whether the store answered.
/// \param daemon the daemon.
/// \param reached whether it answered.
/// \param askedAt when it was asked.
void noteStoreContact(Daemon &daemon, bool reached, MonoTime askedAt);

/// \returns when to adopt the document with this key.
DocumentOrder documentOrder(const std::string &key);

/// \returns the document key of a zone's owner map.
std::string zoneKey(const ZoneId &zone);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_DOCUMENT_STATE_H
