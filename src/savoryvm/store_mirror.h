#ifndef SAVORYLB_STORE_MIRROR_H
#define SAVORYLB_STORE_MIRROR_H

#include "store_protocol.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace savorylb {

/// The documents under one prefix of the store, as last read.
struct StoreMirror {
  std::string Prefix;
  std::map<std::string, platform::StoreItem> Items;
  /// Revision of the store up to which the documents are known; 0 for none.
  Revision Known;
  /// The last removals, in the order in which they were seen, and the revision
  /// after which none is missing.
  std::deque<platform::StoreItem> Removals;
  Revision RemovalsSince;
};

/// What a VM hears from the one whose mirror it follows.
struct MirrorNews {
  platform::StorePage Page;
  /// The page holds all documents, not only changes.
  bool Whole = false;
  /// The other VM's store does not answer; the mirror may be old.
  bool Stale = false;
};

/// \returns the changes of a mirror after a revision.
MirrorNews newsAfter(const StoreMirror &mirror, Revision after);

std::string writeNews(const MirrorNews &news);
Result<MirrorNews> readNews(const std::string &text);

/// Takes in changes.
/// \returns those that were new.
std::vector<platform::StoreItem> applyChanges(StoreMirror &mirror,
                                              const platform::StorePage &page);

/// Takes in a whole list.
/// \returns the differences, removals among them.
std::vector<platform::StoreItem> applyList(StoreMirror &mirror,
                                           const platform::StorePage &page);

} // namespace savorylb

#endif // SAVORYLB_STORE_MIRROR_H
