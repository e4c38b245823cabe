#ifndef SAVORYLB_DOCUMENT_CACHE_H
#define SAVORYLB_DOCUMENT_CACHE_H

#include "savorylb/units.h"

#include <cstdint>
#include <map>
#include <string>

namespace savorylb {

/// A document of the store as one daemon holds it.
struct CachedDocument {
  Revision Rev;
  std::string Content;
  /// The store's modify index, for compare-and-swap; 0 when learnt from a peer.
  std::uint64_t StoreIndex = 0;
};

/// What to do with a document that was offered.
enum class Adoption {
  /// Newer than the own copy.
  Adopt,
  /// The same revision and content.
  Same,
  /// Older than the own copy: a stale read, a peer that lags.
  Ignore,
  /// The store itself holds an older revision: write the own copy back.
  Repair,
  /// The same revision with other content; kept as it is and reported.
  Diverged,
};

/// Compares an offered document with the own copy.
/// \param own the own copy, null when there is none.
/// \param offered revision of the offered one.
/// \param content content of the offered one.
/// \param fromStore whether it came from the store by a consistent read.
/// \returns what to do.
Adoption judgeDocument(const CachedDocument *own, Revision offered,
                       const std::string &content, bool fromStore);

/// \param content a JSON document with a `revision` field.
/// \returns the revision, or zero when there is none.
Revision revisionOf(const std::string &content);

} // namespace savorylb

#endif // SAVORYLB_DOCUMENT_CACHE_H
