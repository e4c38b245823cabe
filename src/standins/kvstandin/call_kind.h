#ifndef SAVORYLB_STANDINS_CALL_KIND_H
#define SAVORYLB_STANDINS_CALL_KIND_H

namespace savorylb::standin {

/// Kinds of store calls; each has its own rate limit.
enum class CallKind { Read, Write };

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_CALL_KIND_H
