#ifndef SAVORYLB_SAVORYLBD_STAGE_TIMER_H
#define SAVORYLB_SAVORYLBD_STAGE_TIMER_H

#include "savorylb/clock.h"
#include "savorylb/metrics.h"

#include <string>

namespace savorylb {

/// Records the time from its construction to its destruction as one stage of a
/// request.
class StageTimer {
public:
  /// \param stage name of the stage in the metrics; not copied.
  explicit StageTimer(const char *stage) : Stage(stage), Start(monoNow()) {}
  ~StageTimer() { recordStageTime(Stage, monoNow() - Start); }
  StageTimer(const StageTimer &) = delete;
  StageTimer &operator=(const StageTimer &) = delete;

private:
  const char *Stage;
  MonoTime Start;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_STAGE_TIMER_H
