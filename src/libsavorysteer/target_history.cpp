#include "target_history.h"

#include <algorithm>
#include <limits>

namespace savorylb {
namespace {

/// A restored copy of the store is some seconds old.
constexpr Duration HistoryTime = Seconds(60);
/// More than the targets of the largest deployment that leave in that time.
constexpr std::size_t MaxHistory = 1024;

void record(TargetHistory &history, const TargetEntry &entry,
            std::int64_t sequence, MonoTime now) {
  while (!history.empty() && (history.size() >= MaxHistory ||
                              now - history.front().EndedAt > HistoryTime))
    history.pop_front();
  history.push_back({entry.Id, entry.StartId, sequence, now});
}

} // namespace

void recordDeparture(TargetHistory &history, const TargetEntry &entry,
                     MonoTime now) {
  record(history, entry, entry.Sequence, now);
}

void recordRestart(TargetHistory &history, const TargetEntry &earlier,
                   MonoTime now) {
  record(history, earlier, std::numeric_limits<std::int64_t>::max(), now);
}

bool isOutdated(const TargetHistory &history, const TargetEntry *known,
                const TargetEntry &entry, MonoTime now) {
  if (known && known->StartId == entry.StartId)
    return entry.Sequence < known->Sequence ||
           (entry.Sequence == known->Sequence && known->Draining &&
            !entry.Draining);
  return std::any_of(history.begin(), history.end(), [&](const EndedStart &it) {
    return it.Target == entry.Id && it.StartId == entry.StartId &&
           entry.Sequence <= it.Sequence && now - it.EndedAt <= HistoryTime;
  });
}

} // namespace savorylb
