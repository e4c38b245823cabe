#ifndef SAVORYLB_SAVORYLBD_DOCUMENT_SOURCE_H
#define SAVORYLB_SAVORYLBD_DOCUMENT_SOURCE_H

namespace savorylb {

/// Where a received document came from.
enum class DocumentSource { Store, Peer, OwnWrite };

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_DOCUMENT_SOURCE_H
