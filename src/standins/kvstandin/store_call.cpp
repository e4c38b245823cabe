#include "http_io.h"
#include "store_interface.h"

#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/NumberParser.h>

#include <chrono>
#include <sstream>

using namespace Poco::Net;

namespace savorylb::standin {

namespace {

constexpr std::size_t MaxValueBytes = std::size_t(1) << 20;
// The published defaults of a blocking query.
constexpr std::chrono::milliseconds DefaultWait = std::chrono::minutes(5);
constexpr std::chrono::milliseconds MaxWait = std::chrono::minutes(10);
const std::string KvPath = "/v1/kv/";
const std::string SessionPath = "/v1/session/";

std::string base64(const std::string &text) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << text;
  encoder.close();
  return out.str();
}

// Parses a duration such as 5s, 250ms or 2m; without a unit it is seconds.
std::chrono::milliseconds durationOf(const std::string &text) {
  auto end = text.find_first_not_of("0123456789");
  auto n = Poco::NumberParser::parse64(text.substr(0, end));
  auto unit = end == std::string::npos ? "s" : text.substr(end);
  if (unit == "ms")
    return std::chrono::milliseconds(n);
  if (unit == "s")
    return std::chrono::seconds(n);
  if (unit == "m")
    return std::chrono::minutes(n);
  if (unit == "h")
    return std::chrono::hours(n);
  throw Poco::SyntaxException("no duration", text);
}

std::optional<std::uint64_t> casOf(const Query &q) {
  if (q.count("cas") == 0)
    return std::nullopt;
  return Poco::NumberParser::parseUnsigned64(q.at("cas"));
}

std::string valueOf(const Query &q, const std::string &name) {
  auto it = q.find(name);
  return it == q.end() ? "" : it->second;
}

Json::Value entryJson(const std::string &key, const KvEntry &it) {
  Json::Value out;
  out["Key"] = key;
  out["Value"] = it.Value.empty() ? Json::Value() : base64(it.Value);
  out["Flags"] = static_cast<Json::UInt64>(it.Flags);
  out["CreateIndex"] = static_cast<Json::UInt64>(it.CreateIndex);
  out["ModifyIndex"] = static_cast<Json::UInt64>(it.ModifyIndex);
  out["LockIndex"] = static_cast<Json::UInt64>(it.LockIndex);
  if (!it.Session.empty())
    out["Session"] = it.Session;
  return out;
}

// One call and what it works on.
struct Call {
  StoreState &State;
  HTTPServerRequest &Req;
  HTTPServerResponse &Resp;
  std::string Client;
  Query Params;

  bool cut() const { return State.Faults.cuts(Client); }
  void drop() const {
    State.Calls.dropped();
    dropConnection(Req, Resp);
  }
};

void watch(const Call &call, const std::string &key, bool recurse) {
  auto after = Poco::NumberParser::parseUnsigned64(call.Params.at("index"));
  if (after == 0)
    return;
  auto limit = call.Params.count("wait") ? durationOf(call.Params.at("wait"))
                                         : DefaultWait;
  call.State.Calls.watchStarted();
  call.State.Store.wait(key, recurse, after, std::min(limit, MaxWait),
                        [&call] { return call.cut(); });
  call.State.Calls.watchEnded();
}

void readKey(const Call &call, const std::string &key) {
  bool recurse = call.Params.count("recurse") > 0;
  if (call.Params.count("index"))
    watch(call, key, recurse);
  auto found = call.State.Store.read(key, recurse);
  call.State.Faults.holdAnswer();
  if (call.cut())
    return call.drop();
  call.Resp.set("X-Consul-Index", std::to_string(found.Index));
  if (found.Entries.empty())
    return sendText(call.Resp, 404, "text/plain", "");
  if (call.Params.count("raw"))
    return sendText(call.Resp, 200, "application/octet-stream",
                    found.Entries.front().second.Value);
  Json::Value out(Json::arrayValue);
  for (auto &it : found.Entries)
    out.append(entryJson(it.first, it.second));
  sendJson(call.Resp, 200, out);
}

void answerWrite(const Call &call, const std::string &body,
                 const std::string &type = "application/json") {
  if (call.State.Faults.takeLostAnswer())
    return call.drop();
  call.State.Faults.holdAnswer();
  if (call.cut())
    return call.drop();
  sendText(call.Resp, 200, type, body);
}

void writeKey(const Call &call, const std::string &key,
              const std::string &body) {
  KvWrite w;
  w.Key = key;
  w.Value = body;
  w.Flags = static_cast<std::uint64_t>(numberOf(call.Params, "flags", 0));
  w.Cas = casOf(call.Params);
  w.Acquire = valueOf(call.Params, "acquire");
  w.Release = valueOf(call.Params, "release");
  bool applied = false;
  try {
    applied = call.State.Store.put(w);
  } catch (const Poco::NotFoundException &e) {
    return sendText(call.Resp, 500, "text/plain", e.displayText());
  }
  answerWrite(call, applied ? "true" : "false");
}

void createSession(const Call &call, const std::string &body) {
  Json::Value doc = body.empty() ? Json::Value() : parseJson(body);
  std::chrono::milliseconds ttl{};
  if (doc.isObject() && doc["TTL"].isString() && doc["TTL"] != "") {
    ttl = durationOf(doc["TTL"].asString());
    if (ttl < std::chrono::seconds(10) || ttl > std::chrono::hours(24))
      throw Poco::RangeException("TTL must be between 10s and 86400s");
  }
  bool erases = doc.isObject() && doc["Behavior"] == "delete";
  Json::Value out;
  out["ID"] = call.State.Store.createSession(ttl, erases);
  answerWrite(call, compactJson(out));
}

void sessionCall(const Call &call, const std::string &rest,
                 const std::string &body) {
  if (rest == "create")
    return createSession(call, body);
  auto slash = rest.find('/');
  auto verb = rest.substr(0, slash);
  auto id = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (verb == "destroy") {
    call.State.Store.destroySession(id);
    return answerWrite(call, "true");
  }
  if (verb != "renew")
    return sendText(call.Resp, 404, "text/plain", "");
  if (!call.State.Store.renewSession(id))
    return sendText(call.Resp, 404, "text/plain",
                    "Session id '" + id + "' not found");
  Json::Value out(Json::arrayValue);
  out[0]["ID"] = id;
  answerWrite(call, compactJson(out));
}

void dispatch(const Call &call, const std::string &path,
              const std::string &method, const std::string &body) {
  bool isKey = path.rfind(KvPath, 0) == 0;
  auto key = isKey ? path.substr(KvPath.size()) : "";
  if (isKey && key.empty() && call.Params.count("recurse") == 0)
    return sendText(call.Resp, 400, "text/plain", "Missing key name");
  if (isKey && method == "GET")
    return readKey(call, key);
  if (isKey && method == "PUT")
    return writeKey(call, key, body);
  if (isKey && method == "DELETE") {
    bool done = call.State.Store.remove(key, call.Params.count("recurse") > 0,
                                        casOf(call.Params));
    return answerWrite(call, done ? "true" : "false");
  }
  if (path.rfind(SessionPath, 0) == 0 && method == "PUT")
    return sessionCall(call, path.substr(SessionPath.size()), body);
  sendText(call.Resp, isKey ? 405 : 404, "text/plain", "");
}

} // namespace

void answerStoreCall(StoreState &state, HTTPServerRequest &req,
                     HTTPServerResponse &resp) {
  Call call{state, req, resp, req.get("X-Client-Id", ""), queryOf(req)};
  if (call.cut())
    return call.drop();
  auto body = readBody(req, MaxValueBytes);
  if (!body) {
    // The rest of the body is unread, so the connection cannot be used again.
    resp.setKeepAlive(false);
    return sendText(resp, 413, "text/plain",
                    "Value exceeds 1048576 byte limit");
  }
  state.Faults.pass();
  if (call.cut())
    return call.drop();
  bool isRead = req.getMethod() == "GET";
  // The VM list belongs to the platform and has no part in the store's limits.
  if (pathOf(req) == "/v1/vms") {
    state.Calls.vmListRead();
    return sendJson(resp, 200, state.Vms.show());
  }
  if (!state.Calls.admit(isRead ? CallKind::Read : CallKind::Write))
    return sendText(resp, 429, "text/plain", "rate limit exceeded");
  dispatch(call, pathOf(req), req.getMethod(), *body);
}

} // namespace savorylb::standin
