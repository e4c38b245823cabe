#include "retry_window.h"

#include <algorithm>

namespace savorylb {
namespace {

std::int64_t secondOf(MonoTime time) {
  return std::chrono::duration_cast<Seconds>(time.time_since_epoch()).count();
}

RetryWindow::Bin &binAt(RetryWindow &window, MonoTime now) {
  std::int64_t second = secondOf(now);
  RetryWindow::Bin &bin =
      window.Bins[static_cast<std::size_t>(second) % window.Bins.size()];
  if (bin.Second != second)
    bin = {second, 0, 0};
  return bin;
}

} // namespace

void countRequest(RetryWindow &window, MonoTime now) {
  ++binAt(window, now).Requests;
}

bool takeRetry(RetryWindow &window, const RetryLimits &limits, MonoTime now) {
  std::int64_t oldest = secondOf(now - limits.Window);
  double requests = 0;
  double retries = 0;
  for (const RetryWindow::Bin &it : window.Bins) {
    if (it.Second < oldest || it.Second > secondOf(now))
      continue;
    requests += it.Requests;
    retries += it.Retries;
  }
  double allowed = UsedFraction * (limits.Ratio * requests +
                                   limits.Slack / std::max(1, limits.Vms));
  if (retries + 1 > allowed)
    return false;
  ++binAt(window, now).Retries;
  return true;
}

} // namespace savorylb
