#ifndef SAVORYLB_IDS_H
#define SAVORYLB_IDS_H

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace savorylb {

/// A name of one kind of entity; names of different kinds cannot be mixed.
template <typename Tag> struct Id {
  std::string Value;

  Id() = default;
  explicit Id(std::string value) : Value(std::move(value)) {}

  /// \returns true when no name is set.
  bool empty() const { return Value.empty(); }

  friend bool operator==(const Id &a, const Id &b) {
    return a.Value == b.Value;
  }
  friend bool operator!=(const Id &a, const Id &b) {
    return a.Value != b.Value;
  }
  friend bool operator<(const Id &a, const Id &b) { return a.Value < b.Value; }
  friend std::ostream &operator<<(std::ostream &out, const Id &id) {
    return out << id.Value;
  }
};

using VmId = Id<struct VmTag>;
using ZoneId = Id<struct ZoneTag>;
using RegionId = Id<struct RegionTag>;
using TeamId = Id<struct TeamTag>;
using TargetId = Id<struct TargetTag>;
using ServiceId = Id<struct ServiceTag>;
using RouteId = Id<struct RouteTag>;
using VersionId = Id<struct VersionTag>;
using RolloutId = Id<struct RolloutTag>;
using SiteId = Id<struct SiteTag>;
/// Identity of a caller's request; a repeated request keeps it.
using RequestId = Id<struct RequestTag>;
/// Identifies one run of a daemon process; each start creates a new one.
using Incarnation = Id<struct IncarnationTag>;

} // namespace savorylb

template <typename Tag> struct std::hash<savorylb::Id<Tag>> {
  std::size_t operator()(const savorylb::Id<Tag> &id) const noexcept {
    return std::hash<std::string>()(id.Value);
  }
};

#endif // SAVORYLB_IDS_H
