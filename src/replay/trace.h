#ifndef SAVORYLB_REPLAY_TRACE_H
#define SAVORYLB_REPLAY_TRACE_H

#include "expectation.h"
#include "trace_event.h"

#include "savorylb/error.h"

#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace savorylb::replay {

/// A recorded trace: what happens, and what has to come of it.
struct Trace {
  std::string Name;
  /// The failure that the trace guards against.
  std::string Guards;
  std::string Kind;
  std::uint64_t Seed = 1;
  Duration Length{};
  Json::Value Parameters;
  /// In order of time.
  std::vector<TraceEvent> Events;
  std::vector<Expectation> Expected;
};

/// \param text JSON with comments.
/// \returns the trace, or what is wrong with the text.
Result<Trace> parseTrace(const std::string &text);

/// \returns a field in milliseconds, or the fallback.
Duration millisOf(const Json::Value &fields, const char *name,
                  double fallback = 0);

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_TRACE_H
