#ifndef SAVORYLB_STORE_MIRROR_H
#define SAVORYLB_STORE_MIRROR_H

#include "store_protocol.h"

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
};

/// Takes in changes.
/// \returns those that were new.
std::vector<platform::StoreItem> applyChanges(StoreMirror &mirror,
                                              const platform::StorePage &page);

/// Takes in a whole list.
/// \returns the differences, removals among them.
std::vector<platform::StoreItem> applyList(StoreMirror &mirror,
                                           const platform::StorePage &page);

/// \returns a mirror as it is sent to other VMs.
std::string writeMirror(const StoreMirror &mirror);
Result<platform::StorePage> readMirror(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_STORE_MIRROR_H
