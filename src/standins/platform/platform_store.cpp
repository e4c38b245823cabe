#include "platform_store.h"

#include "json_read.h"
#include "savorylb/clock.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <sstream>

namespace savorylb::standin {
namespace {

constexpr Duration LeaseTick = Millis(50);
constexpr std::size_t PageItems = 20;

std::string base64(const std::string &bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

std::string fromBase64(const std::string &text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  std::string bytes;
  Poco::StreamCopier::copyToString(decoder, bytes);
  return bytes;
}

std::string query(const std::string &path, const std::string &name) {
  for (const auto &[key, value] : Poco::URI(path).getQueryParameters())
    if (key == name)
      return value;
  return "";
}

std::int64_t number(const std::string &text) {
  return text.empty() ? 0 : std::stoll(text);
}

bool begins(const std::string &text, const std::string &prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

HttpMessage json(int status, const Json::Value &value) {
  return jsonResponse(status, platform::writeJson(value));
}

HttpMessage status(int code) { return jsonResponse(code, "{}"); }

} // namespace

PlatformStore::PlatformStore(asio::io_context &io)
    : Io(io), Server(
                  io, [this](const auto &request) { serve(request); },
                  [](int code, const char *) { return status(code); }),
      Ticker(io) {
  expireLeases();
}

void PlatformStore::put(const std::string &key, const std::string &value) {
  write(key, value, 0);
  wakeWatches();
}

void PlatformStore::remove(const std::string &key) {
  erase(key);
  wakeWatches();
}

std::string PlatformStore::get(const std::string &key) const {
  auto it = Items.find(key);
  return it == Items.end() ? "" : it->second.Value;
}

void PlatformStore::forgetHistory() {
  History.clear();
  Oldest = Revision;
  for (const Watch &it : Watches)
    it.Request->Respond(status(410));
  Watches.clear();
}

void PlatformStore::serve(const std::shared_ptr<ServedRequest> &request) {
  ++Calls;
  if (Faults.Silent)
    return;
  if (Faults.Busy) {
    request->Respond(status(503));
    return;
  }
  if (Faults.Delay == Duration::zero()) {
    answer(request);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(Io, Faults.Delay);
  timer->async_wait([this, request, timer](const boost::system::error_code &) {
    answer(request);
  });
}

void PlatformStore::answer(const std::shared_ptr<ServedRequest> &request) {
  const HttpMessage &message = request->Message;
  std::string path = message.Path.substr(0, message.Path.find('?'));
  std::int64_t id = 0;
  std::size_t slash = path.rfind('/');
  if (slash > 0 && slash != std::string::npos)
    id = number(path.substr(slash + 1));
  HttpMessage response;
  if (path == "/kv-range")
    response = list(message.Path);
  else if (path == "/kv-txn")
    response = change(message.Body);
  else if (path == "/kv-lease")
    response = makeLease(message.Body);
  else if (begins(path, "/kv-keep/"))
    response = renew(id);
  else if (begins(path, "/kv-lease-end/"))
    response = endLease(id);
  else if (path == "/kv-watch") {
    watch(request);
    return;
  } else
    response = status(404);
  if (!Faults.LoseAnswers)
    request->Respond(std::move(response));
  wakeWatches();
}

Json::Value PlatformStore::row(const std::string &key, const Item &item) const {
  Json::Value value;
  value["key"] = key;
  value["value"] = base64(item.Value);
  value["revision"] = static_cast<Json::Int64>(item.Changed);
  value["created"] = static_cast<Json::Int64>(item.Created);
  value["lease"] = static_cast<Json::Int64>(item.Lease);
  return value;
}

HttpMessage PlatformStore::list(const std::string &path) {
  std::string prefix = query(path, "prefix");
  std::string after = query(path, "after");
  Json::Value body;
  body["items"] = Json::arrayValue;
  body["hasMore"] = false;
  body["storeRevision"] = static_cast<Json::Int64>(Revision);
  for (const auto &[key, item] : Items) {
    if (!begins(key, prefix) || key <= after)
      continue;
    if (body["items"].size() == PageItems) {
      body["hasMore"] = true;
      break;
    }
    body["items"].append(row(key, item));
  }
  return json(200, body);
}

HttpMessage PlatformStore::change(const std::string &body) {
  auto value = platform::parseObject(body);
  if (!value)
    return status(400);
  for (const Json::Value &it : (*value)["precondition"]) {
    auto found = Items.find(it["key"].asString());
    std::int64_t now = found == Items.end() ? 0 : found->second.Changed;
    if (now != it["revision"].asInt64())
      return status(412);
  }
  for (const Json::Value &it : (*value)["puts"]) {
    std::string key = it["key"].asString();
    if (begins(key, "op/") || begins(key, "servers/"))
      return status(403);
    std::int64_t lease = it["lease"].asInt64();
    if (lease != 0 && !Leases.count(lease))
      return status(404);
  }
  for (const Json::Value &it : (*value)["puts"])
    write(it["key"].asString(), fromBase64(it["value"].asString()),
          it["lease"].asInt64());
  for (const Json::Value &it : (*value)["deletes"])
    erase(it.asString());
  Json::Value done;
  done["revision"] = static_cast<Json::Int64>(Revision);
  return json(200, done);
}

HttpMessage PlatformStore::makeLease(const std::string &body) {
  auto value = platform::parseObject(body);
  auto span =
      value ? platform::durationMember(*value, "ttl_time") : std::nullopt;
  if (!span)
    return status(400);
  std::int64_t id = ++NextLease;
  Leases[id] = {*span, monoNow() + *span};
  Json::Value done;
  done["lease"] = static_cast<Json::Int64>(id);
  done["ttl_time"] = std::to_string(span->count()) + "ms";
  return json(200, done);
}

HttpMessage PlatformStore::renew(std::int64_t id) {
  auto it = Leases.find(id);
  if (it == Leases.end())
    return status(404);
  it->second.Ends = monoNow() + it->second.Span;
  Json::Value done;
  done["ttl_time"] = std::to_string(it->second.Span.count() / 1000) + "ms";
  return json(200, done);
}

HttpMessage PlatformStore::endLease(std::int64_t id) {
  if (!Leases.erase(id))
    return status(404);
  std::vector<std::string> ended;
  for (const auto &[key, item] : Items)
    if (item.Lease == id)
      ended.push_back(key);
  for (const std::string &it : ended)
    erase(it);
  return status(200);
}

HttpMessage PlatformStore::changesAfter(const std::string &prefix,
                                        std::int64_t after, bool &any) {
  if (after < Oldest)
    return status(410);
  Json::Value body;
  body["events"] = Json::arrayValue;
  for (const Change &it : History) {
    if (it.Revision <= after || !begins(it.Key, prefix))
      continue;
    auto found = Items.find(it.Key);
    if (!it.Removed && found != Items.end()) {
      body["events"].append(row(it.Key, found->second));
    } else {
      Json::Value gone;
      gone["key"] = it.Key;
      gone["revision"] = static_cast<Json::Int64>(it.Revision);
      gone["removed"] = true;
      body["events"].append(gone);
    }
    any = true;
  }
  body["storeRevision"] = static_cast<Json::Int64>(Revision);
  return json(200, body);
}

void PlatformStore::watch(const std::shared_ptr<ServedRequest> &request) {
  std::string prefix = query(request->Message.Path, "prefix");
  std::int64_t after = number(query(request->Message.Path, "after"));
  bool any = false;
  HttpMessage response = changesAfter(prefix, after, any);
  if (any || response.Status != 200) {
    request->Respond(std::move(response));
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(
      Io, Millis(number(query(request->Message.Path, "waitMs"))));
  Watches.push_back({request, prefix, after, timer});
  timer->async_wait([this, request](const boost::system::error_code &ec) {
    if (ec)
      return;
    for (auto it = Watches.begin(); it != Watches.end(); ++it)
      if (it->Request == request) {
        bool some = false;
        HttpMessage late = changesAfter(it->Prefix, it->After, some);
        Watches.erase(it);
        request->Respond(std::move(late));
        return;
      }
  });
}

void PlatformStore::write(const std::string &key, const std::string &value,
                          std::int64_t lease) {
  Item &item = Items[key];
  item.Value = value;
  item.Changed = ++Revision;
  item.Lease = lease;
  if (item.Created == 0)
    item.Created = Revision;
  History.push_back({key, Revision, false});
}

void PlatformStore::erase(const std::string &key) {
  if (Items.erase(key))
    History.push_back({key, ++Revision, true});
}

void PlatformStore::wakeWatches() {
  if (Faults.Silent || Faults.Busy)
    return;
  for (auto it = Watches.begin(); it != Watches.end();) {
    bool any = false;
    HttpMessage response = changesAfter(it->Prefix, it->After, any);
    if (!any) {
      ++it;
      continue;
    }
    it->Timer->cancel();
    it->Request->Respond(std::move(response));
    it = Watches.erase(it);
  }
}

void PlatformStore::expireLeases() {
  MonoTime now = monoNow();
  bool away = Faults.Busy || Faults.Silent;
  std::vector<std::int64_t> ended;
  for (auto &[id, lease] : Leases) {
    if (away && !Faults.Lapse)
      lease.Ends += LeaseTick;
    else if (lease.Ends <= now)
      ended.push_back(id);
  }
  for (std::int64_t it : ended)
    endLease(it);
  if (!ended.empty())
    wakeWatches();
  Ticker.expires_after(LeaseTick);
  Ticker.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      expireLeases();
  });
}

} // namespace savorylb::standin
