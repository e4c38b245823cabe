#ifndef SAVORYLB_STANDINS_LOAD_HISTORY_H
#define SAVORYLB_STANDINS_LOAD_HISTORY_H

#include <chrono>
#include <deque>
#include <utility>

namespace savorylb::standin {

/// Busy slots over the last seconds, so that reports can lag.
class LoadHistory {
public:
  using Clock = std::chrono::steady_clock;

  void record(int busy);
  /// \returns the busy slots some time ago.
  int busyAt(Clock::time_point t) const;

private:
  std::deque<std::pair<Clock::time_point, int>> Changes;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_LOAD_HISTORY_H
