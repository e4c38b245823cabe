#ifndef SAVORYLB_REPLAY_VIRTUAL_CLOCK_H
#define SAVORYLB_REPLAY_VIRTUAL_CLOCK_H

#include "savorylb/units.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace savorylb::replay {

/// Event queue of a discrete-event simulation and its current time. VMs read
/// the time through clocks of their own.
struct VirtualClock {
  Duration Now{};
  /// By time. Events of the same time run in the order in which they were
  /// added.
  std::multimap<Duration, std::function<void()>> Events;

  /// Schedules a task; a time in the past counts as now.
  void at(Duration when, std::function<void()> task) {
    Events.emplace(std::max(when, Now), std::move(task));
  }
  void after(Duration delay, std::function<void()> task) {
    at(Now + delay, std::move(task));
  }
  /// Schedules a task periodically.
  /// \param first time of its first run.
  void every(Duration first, Duration interval, std::function<void()> task) {
    at(first, [this, first, interval, task = std::move(task)] {
      task();
      every(first + interval, interval, task);
    });
  }
  void runUntil(Duration end) {
    while (!Events.empty() && Events.begin()->first <= end) {
      auto event = Events.extract(Events.begin());
      Now = event.key();
      event.mapped()();
    }
    Now = end;
  }
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_VIRTUAL_CLOCK_H
