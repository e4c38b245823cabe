#ifndef SAVORYLB_SAVORYLBD_DOCUMENT_ORDER_H
#define SAVORYLB_SAVORYLBD_DOCUMENT_ORDER_H

#include "savorylb/config.h"

namespace savorylb {

/// Order in which documents that arrive together are applied.
enum class DocumentOrder { Rollouts, Config, Others };

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_DOCUMENT_ORDER_H
