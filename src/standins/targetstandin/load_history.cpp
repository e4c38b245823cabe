#include "load_history.h"

namespace savorylb::standin {

namespace {

constexpr std::chrono::seconds Retention(30);

} // namespace

void LoadHistory::record(int busy) {
  auto now = Clock::now();
  Changes.emplace_back(now, busy);
  while (Changes.size() > 1 && Changes[1].first < now - Retention)
    Changes.pop_front();
}

int LoadHistory::busyAt(Clock::time_point t) const {
  int busy = 0;
  for (auto it = Changes.rbegin(); it != Changes.rend(); ++it)
    if (it->first <= t) {
      busy = it->second;
      break;
    }
  return busy;
}

} // namespace savorylb::standin
