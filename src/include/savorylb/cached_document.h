#ifndef SAVORYLB_CACHED_DOCUMENT_H
#define SAVORYLB_CACHED_DOCUMENT_H

#include "savorylb/units.h"

#include <cstdint>
#include <string>

namespace savorylb {

/// Local copy of a document that is kept in the store.
struct CachedDocument {
  Revision Rev;
  std::string Content;
  /// The store's modify index, for compare-and-swap; 0 when received from a
  /// peer.
  std::uint64_t StoreIndex = 0;
};

} // namespace savorylb

#endif // SAVORYLB_CACHED_DOCUMENT_H
