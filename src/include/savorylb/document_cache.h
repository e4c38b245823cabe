#ifndef SAVORYLB_DOCUMENT_CACHE_H
#define SAVORYLB_DOCUMENT_CACHE_H

#include "savorylb/adoption.h"
#include "savorylb/cached_document.h"
#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// Decides what to do with a document received from the store or from a peer.
/// \param own the local copy, null if there is none.
/// \param offered revision of the received document; zero if it has none.
/// \param content text of the received document.
/// \param fromStore whether it came from a consistent read of the store.
Adoption decideAdoption(const CachedDocument *own, Revision offered,
                        const std::string &content, bool fromStore);

/// \param content a JSON document with a `revision` field.
/// \returns the revision, or zero if the text has no valid one.
Revision revisionOf(const std::string &content);

} // namespace savorylb

#endif // SAVORYLB_DOCUMENT_CACHE_H
