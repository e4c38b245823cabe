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
// Documented default and maximum wait of a blocking query of the store.
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

// Parses a duration such as 5s, 250ms or 2m; a number without a unit is in
// seconds.
std::chrono::milliseconds parseDuration(const std::string &text) {
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

std::string textOf(const Query &q, const std::string &name) {
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

// A call on the data port with its context.
struct StoreCall {
  StoreState &State;
  HTTPServerRequest &Req;
  HTTPServerResponse &Resp;
  std::string Client;
  Query Params;

  bool isDropped() const { return State.Faults.dropsCallsOf(Client); }
  void drop() const {
    State.Calls.countDropped();
    dropConnection(Req, Resp);
  }
};

void waitForChange(const StoreCall &call, const std::string &key,
                   bool recurse) {
  auto after = Poco::NumberParser::parseUnsigned64(call.Params.at("index"));
  if (after == 0)
    return;
  auto timeout = call.Params.count("wait")
                     ? parseDuration(call.Params.at("wait"))
                     : DefaultWait;
  call.State.Calls.watchStarted();
  call.State.Store.wait(key, recurse, after, std::min(timeout, MaxWait),
                        [&call] { return call.isDropped(); });
  call.State.Calls.watchEnded();
}

void readKey(const StoreCall &call, const std::string &key) {
  bool recurse = call.Params.count("recurse") > 0;
  if (call.Params.count("index"))
    waitForChange(call, key, recurse);
  auto listing = call.State.Store.read(key, recurse);
  call.State.Faults.waitBeforeResponse();
  if (call.isDropped())
    return call.drop();
  call.Resp.set("X-Consul-Index", std::to_string(listing.Index));
  if (listing.Entries.empty())
    return sendText(call.Resp, 404, "text/plain", "");
  if (call.Params.count("raw"))
    return sendText(call.Resp, 200, "application/octet-stream",
                    listing.Entries.front().second.Value);
  Json::Value out(Json::arrayValue);
  for (auto &it : listing.Entries)
    out.append(entryJson(it.first, it.second));
  sendJson(call.Resp, 200, out);
}

void sendWriteResult(const StoreCall &call, const std::string &body,
                     const std::string &type = "application/json") {
  if (call.State.Faults.consumeLostResponse())
    return call.drop();
  call.State.Faults.waitBeforeResponse();
  if (call.isDropped())
    return call.drop();
  sendText(call.Resp, 200, type, body);
}

void writeKey(const StoreCall &call, const std::string &key,
              const std::string &body) {
  KvWrite w;
  w.Key = key;
  w.Value = body;
  w.Flags = static_cast<std::uint64_t>(numberOf(call.Params, "flags", 0));
  w.Cas = casOf(call.Params);
  w.Acquire = textOf(call.Params, "acquire");
  w.Release = textOf(call.Params, "release");
  bool applied = false;
  try {
    applied = call.State.Store.put(w);
  } catch (const Poco::NotFoundException &e) {
    return sendText(call.Resp, 500, "text/plain", e.displayText());
  }
  sendWriteResult(call, applied ? "true" : "false");
}

void createSession(const StoreCall &call, const std::string &body) {
  Json::Value doc = body.empty() ? Json::Value() : parseJson(body);
  std::chrono::milliseconds ttl{};
  if (doc.isObject() && doc["TTL"].isString() && doc["TTL"] != "") {
    ttl = parseDuration(doc["TTL"].asString());
    if (ttl < std::chrono::seconds(10) || ttl > std::chrono::hours(24))
      throw Poco::RangeException("TTL must be between 10s and 86400s");
  }
  bool deleteKeysAtEnd = doc.isObject() && doc["Behavior"] == "delete";
  Json::Value out;
  out["ID"] = call.State.Store.createSession(ttl, deleteKeysAtEnd);
  sendWriteResult(call, compactJson(out));
}

void handleSessionCall(const StoreCall &call, const std::string &subpath,
                       const std::string &body) {
  if (subpath == "create")
    return createSession(call, body);
  auto slash = subpath.find('/');
  auto operation = subpath.substr(0, slash);
  auto id = slash == std::string::npos ? "" : subpath.substr(slash + 1);
  if (operation == "destroy") {
    call.State.Store.destroySession(id);
    return sendWriteResult(call, "true");
  }
  if (operation != "renew")
    return sendText(call.Resp, 404, "text/plain", "");
  if (!call.State.Store.renewSession(id))
    return sendText(call.Resp, 404, "text/plain",
                    "Session id '" + id + "' not found");
  Json::Value out(Json::arrayValue);
  out[0]["ID"] = id;
  sendWriteResult(call, compactJson(out));
}

void dispatch(const StoreCall &call, const std::string &path,
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
    bool applied = call.State.Store.remove(
        key, call.Params.count("recurse") > 0, casOf(call.Params));
    return sendWriteResult(call, applied ? "true" : "false");
  }
  if (path.rfind(SessionPath, 0) == 0 && method == "PUT")
    return handleSessionCall(call, path.substr(SessionPath.size()), body);
  sendText(call.Resp, isKey ? 405 : 404, "text/plain", "");
}

} // namespace

void handleStoreCall(StoreState &state, HTTPServerRequest &req,
                     HTTPServerResponse &resp) {
  StoreCall call{state, req, resp, req.get("X-Client-Id", ""), queryOf(req)};
  if (call.isDropped())
    return call.drop();
  auto body = readBody(req, MaxValueBytes);
  if (!body) {
    // The rest of the body is unread, so the connection cannot be reused.
    resp.setKeepAlive(false);
    return sendText(resp, 413, "text/plain",
                    "Value exceeds 1048576 byte limit");
  }
  state.Faults.waitBeforeCall();
  if (call.isDropped())
    return call.drop();
  bool isRead = req.getMethod() == "GET";
  // The VM list is served by the platform and not subject to the store's
  // limits.
  if (pathOf(req) == "/v1/vms") {
    state.Calls.countVmListRead();
    return sendJson(resp, 200, state.Vms.publishedDocument());
  }
  if (!state.Calls.admit(isRead ? CallKind::Read : CallKind::Write))
    return sendText(resp, 429, "text/plain", "rate limit exceeded");
  dispatch(call, pathOf(req), req.getMethod(), *body);
}

} // namespace savorylb::standin
