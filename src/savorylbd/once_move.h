#ifndef SAVORYLB_SAVORYLBD_ONCE_MOVE_H
#define SAVORYLB_SAVORYLBD_ONCE_MOVE_H

namespace savorylb {

/// What one reply of the home VM means for an at-most-once request.
enum class OnceMove { Finish, PollAgain, TryHomeAgain };

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ONCE_MOVE_H
