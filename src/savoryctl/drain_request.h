#ifndef SAVORYCTL_DRAIN_REQUEST_H
#define SAVORYCTL_DRAIN_REQUEST_H

#include "drain_kind.h"

#include <string>
#include <vector>

namespace savorylb {

/// A change of the `draining` mark of a target or region.
struct DrainRequest {
  DrainKind Kind = DrainKind::Target;
  std::string Name;
  /// Takes the mark away.
  bool Undo = false;
  /// Admin endpoints of daemons to ask for the revisions they hold.
  std::vector<std::string> Daemons;
};

} // namespace savorylb

#endif // SAVORYCTL_DRAIN_REQUEST_H
