#ifndef SAVORYLB_LOOKUP_QUERY_H
#define SAVORYLB_LOOKUP_QUERY_H

#include "savorylb/ids.h"

#include <cstdint>

namespace savorylb {

/// The parameters of a lookup.
struct LookupQuery {
  ServiceId Service;
  /// IPv4 address in host byte order.
  std::uint32_t ClientAddress = 0;
};

} // namespace savorylb

#endif // SAVORYLB_LOOKUP_QUERY_H
