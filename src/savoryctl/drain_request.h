#ifndef SAVORYCTL_DRAIN_REQUEST_H
#define SAVORYCTL_DRAIN_REQUEST_H

#include "drain_kind.h"

#include <string>
#include <vector>

namespace savorylb {

/// A change of the `draining` field of a target or region.
struct DrainRequest {
  DrainKind Kind = DrainKind::Target;
  std::string Name;
  /// Removes the field instead of setting it.
  bool Undo = false;
  /// Admin endpoints of daemons to query for the revisions they hold.
  std::vector<std::string> Daemons;
};

} // namespace savorylb

#endif // SAVORYCTL_DRAIN_REQUEST_H
