#ifndef SAVORYLB_LOOKUP_QUERY_H
#define SAVORYLB_LOOKUP_QUERY_H

#include "savorylb/ids.h"

#include <cstdint>

namespace savorylb {

/// What a lookup asks for.
struct LookupQuery {
  ServiceId Service;
  std::uint32_t ClientAddress = 0;
};

} // namespace savorylb

#endif // SAVORYLB_LOOKUP_QUERY_H
