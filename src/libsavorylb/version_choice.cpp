#include "savorylb/version_choice.h"

#include <algorithm>

namespace savorylb {

namespace {

// The accumulator stays in [0, WholePpm) between choices. A window of n choices
// that begins with less than a whole can then spend at most ceil(n * share),
// and a fresh accumulator never sends its first request to the new version.
bool isDue(VersionChoice &choice, Ppm share) {
  choice.Accumulator +=
      std::clamp<std::int64_t>(share.Value, 0, WholePpm.Value);
  return choice.Accumulator >= WholePpm.Value;
}

void settle(VersionChoice &choice, bool chosen) {
  if (chosen)
    choice.Accumulator -= WholePpm.Value;
  // What could not be spent is dropped, or it would come back as a burst.
  choice.Accumulator = std::min(choice.Accumulator, WholePpm.Value - 1);
}

} // namespace

bool chooseNewVersion(VersionChoice &choice, Ppm share) {
  bool due = isDue(choice, share);
  settle(choice, due);
  return due;
}

bool chooseNewVersion(VersionChoice &vm, VersionChoice &route, Ppm share) {
  bool vmDue = isDue(vm, share);
  bool routeDue = isDue(route, share);
  settle(vm, vmDue && routeDue);
  settle(route, vmDue && routeDue);
  return vmDue && routeDue;
}

} // namespace savorylb
