#ifndef SAVORYCTL_REQUEST_TIMELINE_H
#define SAVORYCTL_REQUEST_TIMELINE_H

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace savorylb {

/// One line of a log that tells something of a request.
struct TimelineEvent {
  std::int64_t TimeMs = 0;
  std::string Vm;
  /// Name of the event.
  std::string Name;
  /// The other fields, `name=value`.
  std::string Fields;
  /// Whether it is about the request itself, else about a target or VM that
  /// the request met.
  bool OfRequest = false;
};

/// What logs tell of one request.
struct RequestTimeline {
  /// In the order of time; empty when no log names the request.
  std::vector<TimelineEvent> Events;
  /// One sentence on why the request ended as it did.
  std::string Cause;
  /// Lines that are not JSON, such as the end of a log that was cut.
  int InvalidLines = 0;
};

/// Collects the lines of a request, and those of its targets and VMs near it.
/// \param log lines of several VMs in any order.
/// \param trace the id of the caller's attempt.
RequestTimeline buildRequestTimeline(std::istream &log,
                                     const std::string &trace);

} // namespace savorylb

#endif // SAVORYCTL_REQUEST_TIMELINE_H
