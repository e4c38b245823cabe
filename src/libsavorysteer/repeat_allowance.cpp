#include "repeat_allowance.h"

#include <algorithm>

namespace savorylb {
namespace {

std::int64_t secondOf(MonoTime time) {
  return std::chrono::duration_cast<Seconds>(time.time_since_epoch()).count();
}

RepeatAllowance::Bin &binAt(RepeatAllowance &allowance, MonoTime now) {
  std::int64_t second = secondOf(now);
  RepeatAllowance::Bin &bin =
      allowance.Bins[static_cast<std::size_t>(second) % allowance.Bins.size()];
  if (bin.Second != second)
    bin = {second, 0, 0};
  return bin;
}

} // namespace

void countRequest(RepeatAllowance &allowance, MonoTime now) {
  ++binAt(allowance, now).Requests;
}

bool takeRepeat(RepeatAllowance &allowance, const RepeatBounds &bounds,
                MonoTime now) {
  std::int64_t oldest = secondOf(now - bounds.Window);
  double requests = 0;
  double repeats = 0;
  for (const RepeatAllowance::Bin &it : allowance.Bins) {
    if (it.Second < oldest || it.Second > secondOf(now))
      continue;
    requests += it.Requests;
    repeats += it.Repeats;
  }
  double most = UsedPart * (bounds.Ratio * requests +
                            bounds.Slack / std::max(1, bounds.Vms));
  if (repeats + 1 > most)
    return false;
  ++binAt(allowance, now).Repeats;
  return true;
}

} // namespace savorylb
