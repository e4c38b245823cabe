#ifndef SAVORYLB_BLOCK_SPEC_H
#define SAVORYLB_BLOCK_SPEC_H

#include "savorylb/ids.h"

#include <string>

namespace savorylb {

/// A configured block of client addresses and its site.
struct BlockSpec {
  /// CIDR notation, such as `10.1.0.0/16`.
  std::string Cidr;
  SiteId Site;
};

} // namespace savorylb

#endif // SAVORYLB_BLOCK_SPEC_H
