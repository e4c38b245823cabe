#ifndef SAVORYLB_REPLAY_DRIVERS_H
#define SAVORYLB_REPLAY_DRIVERS_H

#include "decision_log.h"
#include "expectation.h"
#include "trace.h"

namespace savorylb::replay {

/// Each driver replays one kind of trace.
/// \param log records every decision.
/// \returns the measured values.
Measurements replayRates(const Trace &trace, DecisionLog &log);
Measurements replaySlots(const Trace &trace, DecisionLog &log);
Measurements replayOwnership(const Trace &trace, DecisionLog &log);
Measurements replayOnce(const Trace &trace, DecisionLog &log);
Measurements replayDocuments(const Trace &trace, DecisionLog &log);
Measurements replayRollout(const Trace &trace, DecisionLog &log);

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_DRIVERS_H
