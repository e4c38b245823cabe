#ifndef SAVORYLB_REPLAY_DRIVERS_H
#define SAVORYLB_REPLAY_DRIVERS_H

#include "decision_log.h"
#include "expectation.h"
#include "trace.h"

namespace savorylb::replay {

/// Each replays one kind of trace.
/// \param trace the trace.
/// \param log receives every decision.
/// \returns what was measured.
Figures replayRates(const Trace &trace, DecisionLog &log);
Figures replaySlots(const Trace &trace, DecisionLog &log);
Figures replayOwnership(const Trace &trace, DecisionLog &log);
Figures replayOnce(const Trace &trace, DecisionLog &log);
Figures replayDocuments(const Trace &trace, DecisionLog &log);
Figures replayRollout(const Trace &trace, DecisionLog &log);

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_DRIVERS_H
