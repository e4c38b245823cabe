#ifndef SAVORYLB_LIB_NEED_H
#define SAVORYLB_LIB_NEED_H

namespace savorylb {

/// Whether a field of a JSON object must be present.
enum class Need { Required, Optional };

} // namespace savorylb

#endif // SAVORYLB_LIB_NEED_H
