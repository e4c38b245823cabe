#ifndef SAVORYLB_TARGET_SPEC_H
#define SAVORYLB_TARGET_SPEC_H

#include "savorylb/ids.h"

#include <string>

namespace savorylb {

/// Configuration of a target.
struct TargetSpec {
  TargetId Name;
  ZoneId Zone;
  /// `host:port`.
  std::string Address;
  int Slots = 1;
  VersionId Version;
  bool Draining = false;
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_SPEC_H
