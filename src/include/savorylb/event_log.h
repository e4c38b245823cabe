#ifndef SAVORYLB_EVENT_LOG_H
#define SAVORYLB_EVENT_LOG_H

#include "savorylb/event_code.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace savorylb {

/// Value of a field of an event.
using EventValue = std::variant<std::string, std::int64_t, double, bool>;
using EventFields = std::vector<std::pair<const char *, EventValue>>;

/// Opens the event log of this process.
/// \param file path of the log, empty for standard output.
/// \param vm name written on each line.
void openEventLog(const std::string &file, const std::string &vm);

/// Opens the event log on standard output, for processes that must not block on
/// its reader. Lines are buffered until flushEventStream(); lines that do not
/// fit are dropped and counted.
/// \param vm name written on each line.
/// \param linesPerSecond number of lines per second, of all events, above which
/// request_done lines are dropped; other lines are dropped only while the
/// buffer is full.
void openEventStream(const std::string &vm, int linesPerSecond);

/// Writes as much as standard output accepts without blocking.
void flushEventStream();

/// Writes the buffered lines that the output accepts, before the process ends.
void closeEventLog();

/// Writes the buffered lines and a process_crashed line. Only for handlers of
/// fatal signals: it neither locks nor allocates memory.
/// \param signal number of the signal.
void logFatalSignal(int signal);

/// Logs an event as a line of JSON: time, event number and name, VM and fields.
/// \param fields further fields of the line; must not contain a tenant key.
void logEvent(EventCode code, const EventFields &fields);

} // namespace savorylb

#endif // SAVORYLB_EVENT_LOG_H
