#ifndef SAVORYLB_REPLAY_TRACE_EVENT_H
#define SAVORYLB_REPLAY_TRACE_EVENT_H

#include "savorylb/units.h"

#include <json/value.h>
#include <string>

namespace savorylb::replay {

/// An event of a trace, such as a fault or an operator's action.
struct TraceEvent {
  Duration At{};
  /// Such as `crash`; each kind of trace has its own kinds of events.
  std::string Kind;
  Json::Value Fields;
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_TRACE_EVENT_H
