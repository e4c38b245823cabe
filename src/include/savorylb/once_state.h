#ifndef SAVORYLB_ONCE_STATE_H
#define SAVORYLB_ONCE_STATE_H

namespace savorylb {

/// State of an at-most-once request. Done and Unknown are final.
enum class OnceState { InProgress, Done, Unknown };

} // namespace savorylb

#endif // SAVORYLB_ONCE_STATE_H
