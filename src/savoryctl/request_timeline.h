#ifndef SAVORYCTL_REQUEST_TIMELINE_H
#define SAVORYCTL_REQUEST_TIMELINE_H

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace savorylb {

/// One log event that concerns a request.
struct TimelineEvent {
  std::int64_t TimeMs = 0;
  std::string Vm;
  /// Name of the event.
  std::string Name;
  /// The remaining fields, as `name=value`.
  std::string Fields;
  /// True for an event of the request itself, false for an event of a VM, a
  /// target, a rollout or an evacuation near it.
  bool OfRequest = false;
};

/// The log events that concern one request, and the cause of its outcome.
struct RequestTimeline {
  /// Ordered by time; empty if no log line has its attempt id.
  std::vector<TimelineEvent> Events;
  /// Explains the outcome of the request in one or more sentences.
  std::string Cause;
  /// Number of lines that are not JSON objects, such as the end of a truncated
  /// log.
  int InvalidLines = 0;
};

/// Collects the events of a request, and those of its targets and VMs near it
/// in time.
/// \param log log lines of several VMs, in any order.
/// \param trace the attempt id of the caller, logged as `trace`.
RequestTimeline buildRequestTimeline(std::istream &log,
                                     const std::string &trace);

} // namespace savorylb

#endif // SAVORYCTL_REQUEST_TIMELINE_H
