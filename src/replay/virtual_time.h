#ifndef SAVORYLB_REPLAY_VIRTUAL_TIME_H
#define SAVORYLB_REPLAY_VIRTUAL_TIME_H

#include "savorylb/units.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace savorylb::replay {

/// True time of a replay; VMs read it through clocks of their own.
struct VirtualTime {
  Duration Now{};
  /// Events of the same time run in the order in which they were added.
  std::multimap<Duration, std::function<void()>> Events;

  void at(Duration when, std::function<void()> what) {
    Events.emplace(std::max(when, Now), std::move(what));
  }
  void after(Duration delay, std::function<void()> what) {
    at(Now + delay, std::move(what));
  }
  /// Runs something now and then in equal intervals.
  void every(Duration first, Duration interval, std::function<void()> what) {
    at(first, [this, first, interval, what = std::move(what)] {
      what();
      every(first + interval, interval, what);
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

#endif // SAVORYLB_REPLAY_VIRTUAL_TIME_H
