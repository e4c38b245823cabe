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

/// A trace: parameters of a simulation, timed events such as faults, and the
/// expected results.
struct Trace {
  std::string Name;
  /// The failure that the trace guards against.
  std::string Guards;
  std::string Kind;
  std::uint64_t Seed = 1;
  Duration Length{};
  Json::Value Parameters;
  /// Ordered by time.
  std::vector<TraceEvent> Events;
  std::vector<Expectation> Expected;
};

/// \param text JSON, which may contain comments.
/// \returns the trace, or an error that states why the text is invalid.
Result<Trace> parseTrace(const std::string &text);

/// Reads a duration.
/// \param name name of a field in milliseconds.
/// \param fallback used when the field is missing, in milliseconds.
Duration millisOf(const Json::Value &fields, const char *name,
                  double fallback = 0);

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_TRACE_H
