#ifndef SAVORYLB_RETRY_WINDOW_H
#define SAVORYLB_RETRY_WINDOW_H

#include "savorylb/units.h"

#include <array>

namespace savorylb {

/// Counts the requests and retries of one service on this VM over a sliding
/// window, to bound the ratio of retries to requests.
struct RetryWindow {
  struct Bin {
    std::int64_t Second = -1;
    int Requests = 0;
    int Retries = 0;
  };
  /// One bin per second; of a window longer than 31 s, only about the last 32 s
  /// are counted reliably.
  std::array<Bin, 32> Bins;
};

/// Limits on the retries of a service over all VMs.
struct RetryLimits {
  /// Retries per request.
  double Ratio = 0.2;
  /// Retries allowed in the window in addition, over all VMs.
  double Slack = 0;
  Duration Window = Seconds(10);
  /// Number of VMs that share the slack.
  int Vms = 1;
};

/// Fraction of the limits that is used. The rest covers VMs with differing
/// views of the number of VMs, and requests that are counted in another second.
constexpr double UsedFraction = 0.7;

/// Counts a caller's request to the service.
void countRequest(RetryWindow &window, MonoTime now);

/// Counts one retry if the limits allow it.
/// \returns whether the retry may be sent.
bool takeRetry(RetryWindow &window, const RetryLimits &limits, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_RETRY_WINDOW_H
