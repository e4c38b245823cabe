#ifndef SAVORYLB_STANDINS_LOAD_HISTORY_H
#define SAVORYLB_STANDINS_LOAD_HISTORY_H

#include <chrono>
#include <deque>
#include <utility>

namespace savorylb::standin {

/// Records the number of busy slots over the last 30 s, for load reports with
/// a lag.
class LoadHistory {
public:
  using Clock = std::chrono::steady_clock;

  void record(int busy);
  /// \returns the number of busy slots at the given time, or 0 when it is not
  /// recorded.
  int busyAt(Clock::time_point t) const;

private:
  std::deque<std::pair<Clock::time_point, int>> Changes;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_LOAD_HISTORY_H
