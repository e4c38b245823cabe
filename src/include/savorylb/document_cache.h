#ifndef SAVORYLB_DOCUMENT_CACHE_H
#define SAVORYLB_DOCUMENT_CACHE_H

#include "savorylb/adoption.h"
#include "savorylb/cached_document.h"
#include "savorylb/units.h"

#include <string>

namespace savorylb {

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
