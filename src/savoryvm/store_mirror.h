#ifndef SAVORYLB_STORE_MIRROR_H
#define SAVORYLB_STORE_MIRROR_H

#include "http_message.h"
#include "store_protocol.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorylb {

/// Local copy of the documents under one prefix of the store.
struct StoreMirror {
  std::string Prefix;
  std::map<std::string, platform::StoreItem> Items;
  /// Store revision up to which the copy is complete; 0 before the first list.
  StorePosition KnownRevision;
  /// Revision of the latest change to a document.
  StorePosition ChangedAt;
  /// The latest removals in the order in which they were seen. The list is
  /// complete for all revisions after RemovalsSince.
  std::deque<platform::StoreItem> Removals;
  StorePosition RemovalsSince;
};

/// \returns whether the mirror has been filled by a list.
inline bool isListed(const StoreMirror &mirror) {
  return mirror.KnownRevision.Number.Value > 0;
}

/// Update that a VM receives from the VM whose mirror it follows.
struct MirrorUpdate {
  platform::StorePage Page;
  /// The page holds all documents, not only the changes.
  bool Snapshot = false;
  /// The store does not serve the sender, so its mirror may be outdated.
  bool Stale = false;
  /// Time since the sender's mirror was known to be complete.
  Duration Age{0};
};

/// \returns whether updateSince() has more to tell than the mirror's revision.
bool hasChangesSince(const StoreMirror &mirror, StorePosition after);

/// Finds the first document that updateSince() returns. Updates since two
/// positions with the same first change hold the same documents.
/// \returns its revision; 0 for a snapshot, and nothing without changes.
std::optional<StorePosition> firstChangeSince(const StoreMirror &mirror,
                                              StorePosition after);

/// Collects the changes of a mirror after a revision.
/// \returns the changes; a snapshot when removals after that revision have
///          already been discarded, or when the revision is of another
///          era.
MirrorUpdate updateSince(const StoreMirror &mirror, StorePosition after);

/// Serializes a position for the path of a request for an update.
std::string writePosition(StorePosition position);
/// Parses a position. VMs of earlier builds write no era.
/// \param era era of a position that is written without one.
StorePosition readPosition(const std::string &text, StoreEra era);

/// Serializes an update.
std::string writeMirrorUpdate(const MirrorUpdate &update);
/// Parses an update.
/// \returns the update, or Malformed.
Result<MirrorUpdate> readMirrorUpdate(const std::string &text);
/// Parses the update in a response, whose body may be compressed.
/// \returns the update, or Malformed.
Result<MirrorUpdate> readMirrorUpdate(const HttpMessage &response);

/// Applies changes; those that are not newer than the mirror are ignored, as
/// are changes of another era than the mirror's.
/// \returns the changes that were applied.
std::vector<platform::StoreItem> applyChanges(StoreMirror &mirror,
                                              const platform::StorePage &page);

/// Replaces the content of a mirror by a complete list. Documents that are
/// newer than the list are kept, and a list of an older era is ignored.
/// \returns the differences, including removals; marked as FromCopy when the
///          list is the first one of a newer era.
std::vector<platform::StoreItem> applySnapshot(StoreMirror &mirror,
                                               const platform::StorePage &page);

} // namespace savorylb

#endif // SAVORYLB_STORE_MIRROR_H
