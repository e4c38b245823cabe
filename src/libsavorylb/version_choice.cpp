#include "savorylb/version_choice.h"

#include <algorithm>

namespace savorylb {

namespace {

// Adds the share and returns whether the accumulator reached a whole.
//
// The accumulator stays in [0, WholePpm) between choices, so n consecutive
// choices can send at most ceil(n * share) requests to the new version, and a
// new accumulator never sends its first request there.
bool accumulateShare(VersionChoice &choice, Ppm share) {
  choice.Accumulator +=
      std::clamp<std::int64_t>(share.Value, 0, WholePpm.Value);
  return choice.Accumulator >= WholePpm.Value;
}

void finishChoice(VersionChoice &choice, bool chosen) {
  if (chosen)
    choice.Accumulator -= WholePpm.Value;
  // Any excess is dropped; otherwise it would cause a burst later.
  choice.Accumulator = std::min(choice.Accumulator, WholePpm.Value - 1);
}

} // namespace

bool chooseNewVersion(VersionChoice &choice, Ppm share) {
  bool due = accumulateShare(choice, share);
  finishChoice(choice, due);
  return due;
}

bool chooseNewVersion(VersionChoice &vm, VersionChoice &route, Ppm share) {
  bool vmDue = accumulateShare(vm, share);
  bool routeDue = accumulateShare(route, share);
  finishChoice(vm, vmDue && routeDue);
  finishChoice(route, vmDue && routeDue);
  return vmDue && routeDue;
}

} // namespace savorylb
