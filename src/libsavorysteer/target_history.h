#ifndef SAVORYLB_TARGET_HISTORY_H
#define SAVORYLB_TARGET_HISTORY_H

#include "target_entry.h"

#include <deque>

namespace savorylb {

/// A start of a target that ended: the target left or started again.
struct EndedStart {
  TargetId Target;
  std::int64_t StartId = 0;
  /// Sequence up to which entries of the start are outdated.
  std::int64_t Sequence = 0;
  MonoTime EndedAt{};
};

/// The latest ended starts of all targets, in order of time.
using TargetHistory = std::deque<EndedStart>;

/// Records that a target has left. A later entry of the same start shows that
/// only its lease had lapsed.
void recordDeparture(TargetHistory &history, const TargetEntry &entry,
                     MonoTime now);

/// Records that a target has started again; all entries of the earlier start
/// are outdated.
void recordRestart(TargetHistory &history, const TargetEntry &earlier,
                   MonoTime now);

/// \returns whether two entries of a target stem from the same report.
inline bool isSameReport(const TargetEntry &a, const TargetEntry &b) {
  return a.StartId == b.StartId && a.Sequence == b.Sequence &&
         a.Draining == b.Draining;
}

/// \param known the present entry of the target; null if it is not known.
/// \param entry an entry that the store shows after it came back from an older
///        copy.
/// \returns whether the entry is older than what is known of the target.
bool isOutdated(const TargetHistory &history, const TargetEntry *known,
                const TargetEntry &entry, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_TARGET_HISTORY_H
