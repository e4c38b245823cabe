#ifndef SAVORYLB_STANDINS_CALL_KIND_H
#define SAVORYLB_STANDINS_CALL_KIND_H

namespace savorylb::standin {

/// Kinds of store calls with a limit of their own.
enum class CallKind { Read, Write };

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_CALL_KIND_H
