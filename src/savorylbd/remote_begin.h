#ifndef SAVORYLB_SAVORYLBD_REMOTE_BEGIN_H
#define SAVORYLB_SAVORYLBD_REMOTE_BEGIN_H

#include "savorylb/begin_result.h"

namespace savorylb {

/// Reply of the home VM, which may be this VM, to the registration of an
/// at-most-once request.
struct RemoteBegin {
  /// The reply arrived.
  bool Reached = false;
  /// The request may have been registered although no reply arrived.
  bool MayHaveRegistered = false;
  BeginResult Begin;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REMOTE_BEGIN_H
