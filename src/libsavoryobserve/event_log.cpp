#include "savorylb/event_log.h"

#include "savorylb/clock.h"

#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
// The logging library's handlers of signals such as SIGSEGV would hide crashes.
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#include <easylogging++.h>

#include <charconv>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace savorylb {
namespace {

std::string VmName;
/// False in unit tests, which run without a log.
bool LogOpen = false;

/// Bytes buffered while standard output is not read; about 2,000 lines.
constexpr std::size_t MaxPendingBytes = 1 << 20;

/// Buffered, rate-limited output of lines to standard output.
struct EventStream {
  bool Open = false;
  int LinesPerSecond = 0;
  std::string Pending;
  std::int64_t Second = 0;
  int LinesThisSecond = 0;
  std::int64_t DroppedLines = 0;
};

EventStream Stream;

/// Start of the line that a fatal signal writes, up to the signal's number.
std::string FatalLineStart;

/// Writes to standard output without waiting for its reader.
void writeRaw(const char *data, std::size_t size) {
  while (size > 0) {
    ssize_t n = write(STDOUT_FILENO, data, size);
    if (n <= 0)
      return;
    data += n;
    size -= static_cast<std::size_t>(n);
  }
}

void appendString(std::string &out, const std::string &text) {
  out += '"';
  for (unsigned char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += static_cast<char>(c);
    } else if (c < 0x20) {
      char buf[8];
      std::snprintf(buf, sizeof buf, "\\u%04x", c);
      out += buf;
    } else {
      out += static_cast<char>(c);
    }
  }
  out += '"';
}

void appendValue(std::string &out, const EventValue &value) {
  if (const auto *text = std::get_if<std::string>(&value)) {
    appendString(out, *text);
  } else if (const auto *n = std::get_if<std::int64_t>(&value)) {
    out += std::to_string(*n);
  } else if (const auto *x = std::get_if<double>(&value)) {
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.6g", *x);
    out += buf;
  } else {
    out += std::get<bool>(value) ? "true" : "false";
  }
}

/// Every admitted line counts towards the rate, but only request_done lines are
/// dropped when it is exceeded. All lines are dropped while the buffer is full.
/// \returns false if the line has to be dropped.
bool admitLine(EventCode code) {
  bool rateLimited = code == EventCode::RequestDone;
  std::int64_t second = wallNow().time_since_epoch().count() / 1000;
  if (second != Stream.Second) {
    Stream.Second = second;
    Stream.LinesThisSecond = 0;
  }
  if (Stream.Pending.size() > MaxPendingBytes ||
      (rateLimited && Stream.LinesThisSecond >= Stream.LinesPerSecond)) {
    ++Stream.DroppedLines;
    return false;
  }
  ++Stream.LinesThisSecond;
  return true;
}

} // namespace

void openEventLog(const std::string &file, const std::string &vm) {
  VmName = vm;
  LogOpen = true;
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::Format, "%msg");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput,
                   file.empty() ? "true" : "false");
  conf.setGlobally(el::ConfigurationType::ToFile,
                   file.empty() ? "false" : "true");
  if (!file.empty())
    conf.setGlobally(el::ConfigurationType::Filename, file);
  el::Loggers::reconfigureAllLoggers(conf);
}

void openEventStream(const std::string &vm, int linesPerSecond) {
  VmName = vm;
  LogOpen = true;
  Stream.Open = true;
  Stream.LinesPerSecond = linesPerSecond;
  FatalLineStart = "{\"event\":";
  FatalLineStart += std::to_string(static_cast<int>(EventCode::ProcessCrashed));
  FatalLineStart += ",\"name\":\"";
  FatalLineStart += eventName(EventCode::ProcessCrashed);
  FatalLineStart += "\",\"vm\":";
  appendString(FatalLineStart, vm);
  FatalLineStart += ",\"time_ms\":";
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void flushEventStream() {
  if (Stream.DroppedLines > 0 && Stream.Pending.size() < MaxPendingBytes / 2) {
    std::int64_t n = Stream.DroppedLines;
    Stream.DroppedLines = 0;
    logEvent(EventCode::LogLinesDropped, {{"lines", n}});
  }
  while (!Stream.Pending.empty()) {
    ssize_t n =
        write(STDOUT_FILENO, Stream.Pending.data(), Stream.Pending.size());
    if (n <= 0)
      return; // Output is blocked; the lines stay until the next flush.
    Stream.Pending.erase(0, static_cast<std::size_t>(n));
  }
}

void logEvent(EventCode code, const EventFields &fields) {
  if (!LogOpen || (Stream.Open && !admitLine(code)))
    return;
  std::string line = "{\"time_ms\":";
  line += std::to_string(wallNow().time_since_epoch().count());
  line += ",\"event\":";
  line += std::to_string(static_cast<int>(code));
  line += ",\"name\":\"";
  line += eventName(code);
  line += "\",\"vm\":";
  appendString(line, VmName);
  for (const auto &[name, value] : fields) {
    line += ",\"";
    line += name;
    line += "\":";
    appendValue(line, value);
  }
  line += '}';
  if (Stream.Open) {
    Stream.Pending += line;
    Stream.Pending += '\n';
    return;
  }
  LOG(INFO) << line;
}

void logFatalSignal(int signal) {
  if (!Stream.Open)
    return;
  writeRaw(Stream.Pending.data(), Stream.Pending.size());
  // to_chars() and clock_gettime() may be called from signal handlers.
  char buf[96];
  char *end = buf + sizeof buf;
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  std::int64_t ms = std::int64_t(now.tv_sec) * 1000 + now.tv_nsec / 1'000'000;
  char *at = std::to_chars(buf, end, ms).ptr;
  for (const char *it = ",\"signal\":"; *it; ++it)
    *at++ = *it;
  at = std::to_chars(at, end, signal).ptr;
  *at++ = '}';
  *at++ = '\n';
  writeRaw(FatalLineStart.data(), FatalLineStart.size());
  writeRaw(buf, static_cast<std::size_t>(at - buf));
}

void closeEventLog() {
  if (Stream.Open) {
    flushEventStream();
    return;
  }
  if (LogOpen)
    el::Loggers::flushAll();
}

} // namespace savorylb
