#include "trace.h"

#include <algorithm>
#include <json/reader.h>
#include <memory>

namespace savorylb::replay {
namespace {

/// Finds a top-level field that is not part of the format, since a misspelt one
/// would silently be ignored. Fields of parameters, events and expectations are
/// not checked.
/// \returns the name of the field, or an empty string.
std::string unknownField(const Json::Value &root) {
  static const std::vector<std::string> known{
      "name",      "guards",     "kind",   "seed",
      "length_ms", "parameters", "events", "expect"};
  for (const std::string &it : root.getMemberNames())
    if (std::find(known.begin(), known.end(), it) == known.end())
      return it;
  return "";
}

Expectation parseExpectation(const std::string &name,
                             const Json::Value &bounds) {
  Expectation it;
  it.Measurement = name;
  if (bounds.isMember("min"))
    it.Min = bounds["min"].asDouble();
  if (bounds.isMember("max"))
    it.Max = bounds["max"].asDouble();
  return it;
}

Trace readTrace(const Json::Value &root) {
  Trace trace;
  trace.Name = root["name"].asString();
  trace.Guards = root["guards"].asString();
  trace.Kind = root["kind"].asString();
  trace.Seed = root.get("seed", 1).asUInt64();
  trace.Length = millisOf(root, "length_ms");
  trace.Parameters = root["parameters"];
  for (const Json::Value &it : root["events"])
    trace.Events.push_back({millisOf(it, "at_ms"), it["what"].asString(), it});
  std::stable_sort(
      trace.Events.begin(), trace.Events.end(),
      [](const TraceEvent &a, const TraceEvent &b) { return a.At < b.At; });
  const Json::Value &expected = root["expect"];
  for (const std::string &name : expected.getMemberNames())
    trace.Expected.push_back(parseExpectation(name, expected[name]));
  return trace;
}

} // namespace

Result<Trace> parseTrace(const std::string &text) {
  Json::CharReaderBuilder builder;
  builder["allowComments"] = true;
  builder["rejectDupKeys"] = true;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  if (!reader->parse(text.data(), text.data() + text.size(), &root, &errors) ||
      !root.isObject())
    return failure(ErrorCode::Malformed,
                   "trace is not a JSON object: " + errors);
  std::string unknown = unknownField(root);
  if (!unknown.empty())
    return failure(ErrorCode::Malformed, "unknown field " + unknown);
  try {
    Trace trace = readTrace(root);
    if (trace.Guards.empty() || trace.Expected.empty() ||
        trace.Length <= Duration(0))
      return failure(ErrorCode::InvalidArgument,
                     "guards, expect and a positive length_ms are required");
    return trace;
  } catch (const Json::Exception &e) {
    return failure(ErrorCode::Malformed, e.what());
  }
}

Duration millisOf(const Json::Value &fields, const char *name,
                  double fallback) {
  return Duration(
      static_cast<std::int64_t>(fields.get(name, fallback).asDouble() * 1000));
}

} // namespace savorylb::replay
