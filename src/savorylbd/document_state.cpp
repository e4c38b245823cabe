#include "document_state.h"

#include "daemon.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

#include <optional>

namespace savorylb {
namespace {

bool startsWith(const std::string &text, const std::string &prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

/// \returns an empty text, or the reason why the document is invalid.
std::string applyConfig(Daemon &daemon, const std::string &key,
                        const std::string &content) {
  Findings findings;
  Config config = parseConfig(key, content, findings);
  if (!findings.empty())
    return formatFindings(findings);
  bool first = currentSnapshot(daemon)->Conf.Rev == Revision(0);
  updateSnapshot(daemon, [&](Snapshot &it) {
    it.Blocks = std::make_shared<const BlockTable>(makeBlockTable(
        config.Blocks, config.Sites, daemon.Documents.Blocks.ActiveParts));
    it.Conf = std::move(config);
  });
  Revision revision = currentSnapshot(daemon)->Conf.Rev;
  if (first)
    logEvent(EventCode::DaemonReady, {{"revision", revision.Value}});
  applyRollouts(daemon, currentSnapshot(daemon)->Conf);
  applyOwnership(daemon);
  return "";
}

std::string applyKeys(Daemon &daemon, const std::string &content) {
  Result<KeyRing> ring = parseKeyRing(content);
  if (!ring)
    return ring.error().Message;
  updateSnapshot(daemon,
                 [&](Snapshot &it) { it.Keys = std::move(ring.value()); });
  return "";
}

std::string applyOwnerMap(Daemon &daemon, const std::string &key,
                          const std::string &content,
                          std::uint64_t storeIndex) {
  Result<ZoneDocument> doc = parseZoneDocument(content);
  if (!doc)
    return doc.error().Message;
  {
    auto shared = std::make_shared<const ZoneDocument>(doc.value());
    std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
    daemon.Documents.Zones[doc.value().Zone] = shared;
  }
  if (key == zoneKey(daemon.Conf.Zone))
    applyZoneDocument(daemon, doc.value(), storeIndex);
  return "";
}

std::string applyRolloutDocument(Daemon &daemon, const std::string &content) {
  Result<RolloutRecord> record = parseRolloutRecord(content);
  if (!record)
    return record.error().Message;
  applyRolloutRecord(daemon, record.value());
  return "";
}

/// Held documents are never removed, so records of other programs below the
/// same prefix must be ignored.
bool isDaemonDocument(const std::string &key) {
  return key == ConfigKey || key == KeysKey || startsWith(key, ZonesPrefix) ||
         startsWith(key, RolloutsPrefix) || key == BlockIndexKey ||
         startsWith(key, BlockPartsPrefix);
}

std::string applyDocument(Daemon &daemon, const std::string &key,
                          const std::string &content,
                          std::uint64_t storeIndex) {
  if (key == ConfigKey)
    return applyConfig(daemon, key, content);
  if (key == KeysKey)
    return applyKeys(daemon, content);
  if (startsWith(key, ZonesPrefix))
    return applyOwnerMap(daemon, key, content, storeIndex);
  if (startsWith(key, RolloutsPrefix))
    return applyRolloutDocument(daemon, content);
  if (key == BlockIndexKey || startsWith(key, BlockPartsPrefix))
    return applyBlockDocument(daemon, key, content);
  return "";
}

const char *sourceName(DocumentSource source) {
  switch (source) {
  case DocumentSource::Store:
    return "store";
  case DocumentSource::Peer:
    return "peer";
  case DocumentSource::OwnWrite:
    return "own-write";
  }
  return "";
}

void rejectDocument(Daemon &daemon, const std::string &key, Revision revision,
                    const std::string &reason) {
  {
    std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
    Revision &known = daemon.Documents.RejectedRevisions[key];
    if (known == revision)
      return;
    known = revision;
  }
  incrementCounter("documents_rejected");
  logEvent(EventCode::DocumentRejected,
           {{"key", key}, {"revision", revision.Value}, {"findings", reason}});
}

void adoptDocument(Daemon &daemon, const std::string &key,
                   const std::string &content, Revision revision,
                   std::uint64_t storeIndex, DocumentSource source) {
  std::string reason = applyDocument(daemon, key, content, storeIndex);
  if (!reason.empty())
    return rejectDocument(daemon, key, revision, reason);
  {
    std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
    daemon.Documents.Documents[key] = {revision, content, storeIndex};
  }
  logEvent(EventCode::DocumentAdopted, {{"key", key},
                                        {"revision", revision.Value},
                                        {"source", sourceName(source)}});
}

void updateStoreIndex(Daemon &daemon, const std::string &key,
                      std::uint64_t storeIndex) {
  if (storeIndex == 0)
    return;
  {
    std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
    daemon.Documents.Documents[key].StoreIndex = storeIndex;
  }
  if (key == zoneKey(daemon.Conf.Zone)) {
    std::lock_guard<std::mutex> guard(daemon.Membership.Lock);
    daemon.Membership.DocStoreIndex = storeIndex;
  }
}

void repairStore(Daemon &daemon, const std::string &key,
                 const CachedDocument &own, std::uint64_t storeIndex) {
  Result<void> written =
      daemon.Store.CompareAndSwap(key, own.Content, storeIndex);
  incrementCounter("documents_repaired");
  logEvent(EventCode::DocumentRepaired, {{"key", key},
                                         {"revision", own.Rev.Value},
                                         {"written", written.has_value()}});
}

/// Compares without copying the document or parsing its revision: a listing of
/// the store contains all documents, of which few have changed.
bool isHeld(Daemon &daemon, const std::string &key,
            const std::string &content) {
  std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
  auto it = daemon.Documents.Documents.find(key);
  return it != daemon.Documents.Documents.end() && !content.empty() &&
         it->second.Content == content;
}

/// \returns the local copy when it has to be written back to the store.
std::optional<CachedDocument> evaluateAndApply(Daemon &daemon,
                                               const std::string &key,
                                               const std::string &content,
                                               std::uint64_t storeIndex,
                                               DocumentSource source) {
  std::lock_guard<std::mutex> adopting(daemon.Documents.AdoptLock);
  if (isHeld(daemon, key, content)) {
    updateStoreIndex(daemon, key, storeIndex);
    return std::nullopt;
  }
  CachedDocument own = heldDocument(daemon, key);
  Revision revision = revisionOf(content);
  bool fromStore = source == DocumentSource::Store;
  Adoption verdict = decideAdoption(own.Content.empty() ? nullptr : &own,
                                    revision, content, fromStore);
  // Of two owner maps with the same revision, the one in the store is valid,
  // since owner maps are written there by compare-and-swap.
  if (verdict == Adoption::Diverged && fromStore &&
      startsWith(key, ZonesPrefix))
    verdict = Adoption::Adopt;
  switch (verdict) {
  case Adoption::Adopt:
    adoptDocument(daemon, key, content, revision, storeIndex, source);
    break;
  case Adoption::Same:
    updateStoreIndex(daemon, key, storeIndex);
    break;
  case Adoption::Ignore:
    break;
  case Adoption::Diverged:
    rejectDocument(daemon, key, revision,
                   "same revision with other content is held");
    break;
  case Adoption::Repair:
    return own;
  }
  return std::nullopt;
}

} // namespace

SnapshotPtr currentSnapshot(Daemon &daemon) {
  std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
  return daemon.Documents.Current;
}

void updateSnapshot(Daemon &daemon,
                    const std::function<void(Snapshot &)> &edit) {
  auto next = std::make_shared<Snapshot>(*currentSnapshot(daemon));
  edit(*next);
  std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
  daemon.Documents.Current = next;
}

void receiveDocument(Daemon &daemon, const std::string &key,
                     const std::string &content, std::uint64_t storeIndex,
                     DocumentSource source) {
  if (!isDaemonDocument(key))
    return;
  auto own = evaluateAndApply(daemon, key, content, storeIndex, source);
  if (own)
    repairStore(daemon, key, *own, storeIndex);
}

CachedDocument heldDocument(Daemon &daemon, const std::string &key) {
  std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
  auto it = daemon.Documents.Documents.find(key);
  return it == daemon.Documents.Documents.end() ? CachedDocument{} : it->second;
}

Revision heldRevision(Daemon &daemon, const std::string &key) {
  std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
  auto it = daemon.Documents.Documents.find(key);
  return it == daemon.Documents.Documents.end() ? Revision(0) : it->second.Rev;
}

std::map<std::string, Revision> heldRevisions(Daemon &daemon) {
  std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
  std::map<std::string, Revision> revisions;
  for (const auto &[key, document] : daemon.Documents.Documents)
    revisions[key] = document.Rev;
  return revisions;
}

void updateStoreContact(Daemon &daemon, bool reached, MonoTime askedAt) {
  bool changed = false;
  {
    std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
    DocumentState &state = daemon.Documents;
    changed = state.StoreReachable != reached;
    state.StoreReachable = reached;
    if (reached) {
      state.StoreContactAt = monoNow();
      state.StoreAnsweredOnce = true;
    }
  }
  if (reached) {
    std::lock_guard<std::mutex> guard(daemon.Membership.Lock);
    recordStoreContact(daemon.Membership.OwnLease, askedAt);
  }
  if (changed)
    logEvent(reached ? EventCode::StoreReachable : EventCode::StoreUnreachable,
             {});
}

DocumentOrder documentOrder(const std::string &key) {
  if (startsWith(key, RolloutsPrefix))
    return DocumentOrder::Rollouts;
  return key == ConfigKey ? DocumentOrder::Config : DocumentOrder::Others;
}

std::string zoneKey(const ZoneId &zone) { return ZonesPrefix + zone.Value; }

} // namespace savorylb
