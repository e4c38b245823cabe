#ifndef SAVORYLB_SAVORYLBD_ONCE_QUERY_H
#define SAVORYLB_SAVORYLBD_ONCE_QUERY_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// Request of a forwarding VM to register an at-most-once request at its home
/// VM.
struct OnceQuery {
  RequestId Identity;
  int Partition = 0;
  /// See OnceEntry::Digest.
  std::string Digest;
  TeamId Team;
  /// Time left until the request's deadline.
  Duration Remaining{};
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ONCE_QUERY_H
