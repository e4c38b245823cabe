#include "stream_plan.h"

#include "http_io.h"

#include <Poco/Exception.h>

#include <set>

namespace savorylb::standin {

namespace {

const std::set<std::string> KnownMembers{
    "team",       "service",     "key",        "rate",         "method", "path",
    "body_bytes", "deadline_ms", "repeat_ppm", "at_most_once", "client"};

StreamPlan parseStream(const Json::Value &doc) {
  if (!doc.isObject())
    throw Poco::SyntaxException("a stream must be an object");
  for (auto &name : doc.getMemberNames())
    if (KnownMembers.count(name) == 0)
      throw Poco::SyntaxException("unknown member of a stream", name);
  StreamPlan out;
  out.Team = doc.get("team", "").asString();
  out.Service = doc.get("service", "").asString();
  out.Key = doc.get("key", "").asString();
  out.Rate = doc.get("rate", 0).asDouble();
  out.Method = doc.get("method", "GET").asString();
  out.Path = doc.get("path", "/").asString();
  out.BodyBytes = doc.get("body_bytes", 0).asUInt64();
  out.DeadlineMs = doc.get("deadline_ms", 1000).asInt64();
  out.RepeatPpm = doc.get("repeat_ppm", 0).asInt64();
  out.AtMostOnce = doc.get("at_most_once", false).asBool();
  out.Client = doc.get("client", "").asString();
  if (out.Service.empty() || out.Rate <= 0 || out.DeadlineMs <= 0 ||
      out.Path.empty() || out.Path[0] != '/')
    throw Poco::SyntaxException(
        "a stream needs a service, a rate and a deadline above 0, and a path "
        "that starts with /");
  return out;
}

} // namespace

std::vector<StreamPlan> readPlan(const std::string &file) {
  auto doc = readJsonFile(file);
  if (!doc.isObject() || !doc["streams"].isArray() || doc["streams"].empty())
    throw Poco::SyntaxException("a plan needs a non-empty array streams", file);
  std::vector<StreamPlan> out;
  try {
    for (auto &it : doc["streams"])
      out.push_back(parseStream(it));
  } catch (const Json::Exception &e) {
    throw Poco::SyntaxException("invalid member in the plan", e.what());
  }
  return out;
}

} // namespace savorylb::standin
