#include "fleet.h"

#include "http_io.h"

#include <Poco/Exception.h>

#include <algorithm>

using namespace Poco::Net;

namespace savorylb::standin {

namespace {

// Query parameters that select targets; all others are settings.
bool isSelector(const std::string &name) {
  return name == "target" || name == "service" || name == "with_version";
}

bool matchesSelectors(const Query &q, const TargetSpec &it) {
  auto matches = [&q](const std::string &name, const std::string &value) {
    auto found = q.find(name);
    return found == q.end() || found->second.empty() || found->second == value;
  };
  return matches("target", it.Name) && matches("service", it.Service) &&
         matches("with_version", it.Version);
}

void applySettings(Fleet &fleet, const Query &q) {
  bool found = false;
  for (auto &t : fleet.Targets) {
    if (!matchesSelectors(q, t->spec()))
      continue;
    found = true;
    for (auto &it : q)
      if (!isSelector(it.first))
        t->set(it.first, it.second);
  }
  if (!found)
    throw Poco::InvalidArgumentException("no such target");
}

Json::Value fleetCountsJson(Fleet &fleet) {
  Json::Value out;
  TargetCounts sum;
  for (auto &t : fleet.Targets) {
    auto it = t->counts();
    addCounts(sum, it);
    out["targets"][t->spec().Name] = countsJson(it);
  }
  out["totals"] = countsJson(sum);
  return out;
}

void resetCounts(Fleet &fleet) {
  fleet.Log.clear();
  for (auto &t : fleet.Targets)
    t->resetCounts();
}

} // namespace

std::vector<TargetSpec> readTargetList(const std::string &file,
                                       const std::vector<std::string> &names) {
  auto doc = readJsonFile(file);
  if (!doc.isArray())
    throw Poco::SyntaxException("the target list must be an array", file);
  std::vector<TargetSpec> out;
  for (auto &it : doc) {
    if (!it.isObject() || !it["name"].isString() || !it["port"].isInt())
      throw Poco::SyntaxException("a target needs name and port", file);
    TargetSpec spec;
    spec.Name = it["name"].asString();
    spec.Port = it["port"].asInt();
    spec.Slots = it.get("slots", 1).asInt();
    spec.Version = it.get("version", "v1").asString();
    spec.Zone = it.get("zone", "").asString();
    spec.Service = it.get("service", "").asString();
    if (names.empty() ||
        std::find(names.begin(), names.end(), spec.Name) != names.end())
      out.push_back(spec);
  }
  if (!names.empty() && out.size() != names.size())
    throw Poco::NotFoundException("a named target is not in", file);
  return out;
}

void handleControlCall(Fleet &fleet, HTTPServerRequest &req,
                       HTTPServerResponse &resp) {
  constexpr std::size_t MaxControlBytes = std::size_t(1) << 20;
  auto path = pathOf(req);
  if (!readBody(req, MaxControlBytes)) {
    resp.setKeepAlive(false);
    return sendText(resp, 413, "text/plain", "");
  }
  bool isGet = req.getMethod() == "GET";
  if (isGet && path == "/control/counts")
    return sendJson(resp, 200, fleetCountsJson(fleet));
  if (isGet && path == "/control/executions")
    return sendJson(resp, 200, fleet.Log.list());
  if (!isGet && path == "/control/set")
    applySettings(fleet, queryOf(req));
  else if (!isGet && path == "/control/reset-counts")
    resetCounts(fleet);
  else
    return sendText(resp, 404, "text/plain", "unknown command\n");
  sendText(resp, 200, "text/plain", "ok\n");
}

} // namespace savorylb::standin
