#include "savorylb/event_log.h"

#include "savorylb/clock.h"

// The stand-alone SIGSEGV handlers of the logging library would hide crashes.
#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#include <easylogging++.h>

#include <cstdio>

INITIALIZE_EASYLOGGINGPP

namespace savorylb {
namespace {

std::string VmName;
/// Tests of the daemon's parts run without a log.
bool LogOpen = false;

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

void logEvent(EventCode code, const EventFields &fields) {
  if (!LogOpen)
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
  LOG(INFO) << line;
}

void closeEventLog() {
  if (LogOpen)
    el::Loggers::flushAll();
}

} // namespace savorylb
