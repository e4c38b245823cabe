#ifndef SAVORYLB_EVENT_LOG_H
#define SAVORYLB_EVENT_LOG_H

#include "savorylb/event_code.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace savorylb {

/// A value of an event's field.
using EventValue = std::variant<std::string, std::int64_t, double, bool>;
using EventFields = std::vector<std::pair<const char *, EventValue>>;

/// Opens the event log of this process.
/// \param file path of the log, empty for standard error.
/// \param vm name written on each line.
void openEventLog(const std::string &file, const std::string &vm);

/// Opens the event log on standard output, for processes that must not wait
/// for whoever reads it. Lines are kept until flushEventStream; what does not
/// fit is left out and counted.
/// \param vm name written on each line.
/// \param linesPerSecond lines on finished requests above this are left out;
///        all other lines are kept.
void openEventStream(const std::string &vm, int linesPerSecond);

/// Writes what standard output takes without waiting.
void flushEventStream();

/// Writes out what is still buffered, before the process ends.
void closeEventLog();

/// Writes one line of JSON: time, event number and name, VM and the fields.
/// \param code the event.
/// \param fields figures and reasons; never a key.
void logEvent(EventCode code, const EventFields &fields);

} // namespace savorylb

#endif // SAVORYLB_EVENT_LOG_H
