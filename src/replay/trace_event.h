#ifndef SAVORYLB_REPLAY_TRACE_EVENT_H
#define SAVORYLB_REPLAY_TRACE_EVENT_H

#include "savorylb/units.h"

#include <json/value.h>
#include <string>

namespace savorylb::replay {

/// One thing that happens at a stated time.
struct TraceEvent {
  Duration At{};
  /// Kind of event, such as `crash`; each kind of trace has its own.
  std::string What;
  Json::Value Fields;
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_TRACE_EVENT_H
