#ifndef SAVORYLB_KEY_RING_H
#define SAVORYLB_KEY_RING_H

#include "savorylb/error.h"
#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

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

/// How fresh the keys are, and what peers say of the store.
struct KeyFreshness {
  /// Age of the last confirmed contact with the store, own or through peers.
  Duration Age{};
  /// Whether at least one VM of every other zone answered lately.
  bool OtherZonesReached = false;
  /// Whether any VM heard from reached the store lately.
  bool AnyStoreContact = false;
};

/// Decides whether keyed requests are served.
/// \param freshness what is known.
/// \param limit age above which a zone that may be partitioned refuses; zero
/// turns the limit off.
/// \returns true when keys may be relied on.
bool keysUsable(const KeyFreshness &freshness, Duration limit);

} // namespace savorylb

#endif // SAVORYLB_KEY_RING_H
