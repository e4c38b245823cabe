#ifndef SAVORYLB_SLOT_GRANT_H
#define SAVORYLB_SLOT_GRANT_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <cstdint>
#include <string>

namespace savorylb {

/// A slot granted to one request.
struct SlotGrant {
  std::uint64_t Number = 0;
  TargetId Target;
  std::string Address;
  VersionId Version;
  MonoTime ExpiresAt{};
};

} // namespace savorylb

#endif // SAVORYLB_SLOT_GRANT_H
