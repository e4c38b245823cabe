#include "json_text.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace savorylb {

namespace {

std::string write(const Json::Value &value, const char *indentation) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = indentation;
  builder["emitUTF8"] = true;
  // The default precision of 17 digits turns 0.1 into 0.10000000000000001.
  builder["precision"] = 15;
  return Json::writeString(builder, value);
}

} // namespace

Result<Json::Value> parseJsonText(const std::string &text) {
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  builder["failIfExtra"] = true;
  builder["stackLimit"] = 64;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value out;
  std::string errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &out, &errors))
      return out;
  } catch (const Json::Exception &ex) {
    errors = ex.what();
  }
  return failure(ErrorCode::Malformed, "not JSON: " + errors);
}

std::string writeCompact(const Json::Value &value) { return write(value, ""); }

std::string writePretty(const Json::Value &value) {
  return write(value, "  ") + "\n";
}

Revision revisionField(const std::string &text) {
  Result<Json::Value> value = parseJsonText(text);
  if (!value || !value.value().isObject() ||
      !value.value()["revision"].isInt64())
    return Revision();
  return Revision(value.value()["revision"].asInt64());
}

std::string formatUtc(WallTime time) {
  Poco::Timestamp stamp(time.time_since_epoch().count() * 1000);
  return Poco::DateTimeFormatter::format(stamp, "%Y-%m-%dT%H:%M:%SZ");
}

} // namespace savorylb
