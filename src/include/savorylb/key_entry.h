#ifndef SAVORYLB_KEY_ENTRY_H
#define SAVORYLB_KEY_ENTRY_H

#include "savorylb/ids.h"

#include <string>

namespace savorylb {

/// One tenant key; only its digest is stored.
struct KeyEntry {
  /// Lower-case hex SHA-256 of the key.
  std::string Digest;
  TeamId Team;
  /// Name by which operators identify the key, for example to revoke it.
  std::string Label;
  bool Revoked = false;
};

} // namespace savorylb

#endif // SAVORYLB_KEY_ENTRY_H
