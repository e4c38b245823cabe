#ifndef SAVORYLB_KEY_RING_H
#define SAVORYLB_KEY_RING_H

#include "savorylb/error.h"
#include "savorylb/ids.h"
#include "savorylb/key_entry.h"
#include "savorylb/key_freshness.h"
#include "savorylb/units.h"

#include <optional>
#include <string>
#include <vector>

namespace savorylb {

/// All granted keys of the fleet.
struct KeyRing {
  Revision Rev;
  std::vector<KeyEntry> Entries;
  /// Entry by the first 16 hex digits of its digest; the rest is compared in
  /// constant time.
  std::unordered_multimap<std::string, std::size_t> ByPrefix;
};

/// \returns the document as JSON.
std::string formatKeyRing(const KeyRing &ring);
/// \returns the key ring, or what is wrong with the text.
Result<KeyRing> parseKeyRing(const std::string &text);

/// \param ring the granted keys.
/// \param digest lower-case hex SHA-256 of the caller's key.
/// \returns the team of a key in force, or nothing.
std::optional<TeamId> teamOfKey(const KeyRing &ring, const std::string &digest);

/// Decides whether keyed requests are served.
/// \param freshness what is known.
/// \param limit age above which a zone that may be partitioned refuses; zero
/// turns the limit off.
/// \returns true when keys may be relied on.
bool keysUsable(const KeyFreshness &freshness, Duration limit);

} // namespace savorylb

#endif // SAVORYLB_KEY_RING_H
