#ifndef SAVORYLB_BLOCK_SPEC_H
#define SAVORYLB_BLOCK_SPEC_H

#include "savorylb/ids.h"

#include <string>

namespace savorylb {

/// A block of client addresses that belongs to one site.
struct BlockSpec {
  /// CIDR notation, such as `10.1.0.0/16`.
  std::string Cidr;
  SiteId Site;
};

} // namespace savorylb

#endif // SAVORYLB_BLOCK_SPEC_H
