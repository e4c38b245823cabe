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

/// All tenant keys of the fleet.
struct KeyRing {
  Revision Rev;
  std::vector<KeyEntry> Entries;
  /// Index of an entry by the first 16 hex digits of its digest; whole digests
  /// are compared in constant time.
  std::unordered_multimap<std::string, std::size_t> ByPrefix;
};

/// \returns the key ring as JSON.
std::string formatKeyRing(const KeyRing &ring);
/// \returns the key ring, or an error that names the invalid part.
Result<KeyRing> parseKeyRing(const std::string &text);

/// \param digest lower-case hex SHA-256 of the caller's key.
/// \returns the team of the key; nothing if the key is unknown or revoked.
std::optional<TeamId> teamOfKey(const KeyRing &ring, const std::string &digest);

/// Decides whether the known keys are fresh enough to accept requests with
/// them.
/// \param limit age above which the keys are refused, since this zone may be
/// partitioned, unless the store is evidently down for all zones; zero disables
/// the limit.
bool keysUsable(const KeyFreshness &freshness, Duration limit);

} // namespace savorylb

#endif // SAVORYLB_KEY_RING_H
