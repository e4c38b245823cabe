#ifndef SAVORYLB_SAVORYLBD_ONCE_QUERY_H
#define SAVORYLB_SAVORYLBD_ONCE_QUERY_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// What a forwarding VM asks a home VM.
struct OnceQuery {
  RequestId Identity;
  int Partition = 0;
  std::string Digest;
  TeamId Team;
  Duration Remaining{};
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ONCE_QUERY_H
