#ifndef SAVORYLB_KEY_ENTRY_H
#define SAVORYLB_KEY_ENTRY_H

#include "savorylb/ids.h"

#include <string>

namespace savorylb {

/// One granted key; the key itself is never stored.
struct KeyEntry {
  /// Lower-case hex SHA-256 of the key.
  std::string Digest;
  TeamId Team;
  /// Operators' name of the key, used to revoke it.
  std::string Label;
  bool Revoked = false;
};

} // namespace savorylb

#endif // SAVORYLB_KEY_ENTRY_H
