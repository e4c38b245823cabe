#include "platform_store.h"

#include "json_read.h"
#include "savorylb/clock.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <algorithm>
#include <sstream>

namespace savorylb::standin {
namespace {

constexpr Duration LeaseCheckInterval = Millis(50);
constexpr std::size_t PageItems = 20;
/// A page ends with the item that reaches this size.
constexpr std::size_t PageBytes = 1 << 20;

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

std::string queryParameter(const std::string &path, const std::string &name) {
  for (const auto &[key, value] : Poco::URI(path).getQueryParameters())
    if (key == name)
      return value;
  return "";
}

std::int64_t parseNumber(const std::string &text) {
  return text.empty() ? 0 : std::stoll(text);
}

bool startsWith(const std::string &text, const std::string &prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

HttpMessage jsonMessage(int status, const Json::Value &value) {
  return jsonResponse(status, platform::writeJson(value));
}

HttpMessage emptyResponse(int code) { return jsonResponse(code, "{}"); }

} // namespace

PlatformStore::PlatformStore(asio::io_context &io) : Io(io), LeaseTimer(io) {
  expireLeases();
}

bool PlatformStore::listen(const std::string &address) {
  Endpoint &at = Endpoints[address];
  at.Server = std::make_unique<HttpServer>(
      Io, [this, &at](const auto &request) { serve(request, at); },
      [this](int code, const char *) {
        HttpMessage response = emptyResponse(code);
        response.Fields.emplace_back("Store-Era", std::to_string(Era));
        return response;
      });
  return at.Server->listen(address);
}

void PlatformStore::setSilent(const std::string &address, bool silent) {
  Endpoints.at(address).Silent = silent;
}

void PlatformStore::put(const std::string &key, const std::string &value) {
  write(key, value, 0);
  notifyWatches();
}

void PlatformStore::remove(const std::string &key) {
  erase(key);
  notifyWatches();
}

std::string PlatformStore::get(const std::string &key) const {
  auto it = Items.find(key);
  return it == Items.end() ? "" : it->second.Value;
}

void PlatformStore::compactHistory() {
  History.clear();
  CompactedRevision = Revision;
  for (const Watch &it : Watches)
    respond(it.Request, emptyResponse(410));
  Watches.clear();
}

void PlatformStore::takeCopy() {
  Saved = {Items, Revision, NextLease, Leases, monoNow()};
}

void PlatformStore::restoreCopy() {
  ++Era;
  Items = Saved.Items;
  Revision = Saved.Revision;
  NextLease = Saved.NextLease;
  Leases = Saved.Leases;
  for (auto &[id, lease] : Leases)
    lease.ExpiresAt += monoNow() - Saved.TakenAt;
  while (!History.empty() && History.back().Revision > Revision)
    History.pop_back();
  CompactedRevision = std::min(CompactedRevision, Revision);
  cutWatches();
}

void PlatformStore::cutWatches() {
  for (const Watch &it : Watches) {
    it.Timer->cancel();
    it.Request->Abort();
  }
  Watches.clear();
}

void PlatformStore::respond(const std::shared_ptr<ServedRequest> &request,
                            HttpMessage response) const {
  response.Fields.emplace_back("Store-Era", std::to_string(Era));
  request->Respond(std::move(response));
}

void PlatformStore::serve(const std::shared_ptr<ServedRequest> &request,
                          const Endpoint &at) {
  ++Calls;
  if (Faults.Silent || at.Silent)
    return;
  if (Faults.Busy) {
    respond(request, emptyResponse(503));
    return;
  }
  if (Faults.Delay == Duration::zero()) {
    answer(request, at);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(Io, Faults.Delay);
  timer->async_wait(
      [this, request, &at, timer](const boost::system::error_code &) {
        answer(request, at);
      });
}

void PlatformStore::answer(const std::shared_ptr<ServedRequest> &request,
                           const Endpoint &at) {
  const HttpMessage &message = request->Message;
  std::string path = message.Path.substr(0, message.Path.find('?'));
  std::int64_t id = 0;
  std::size_t slash = path.rfind('/');
  if (slash > 0 && slash != std::string::npos)
    id = parseNumber(path.substr(slash + 1));
  HttpMessage response;
  if (path == "/kv-range")
    response = list(message.Path);
  else if (path == "/kv-key")
    response = read(message.Path);
  else if (path == "/kv-txn")
    response = applyTransaction(message.Body);
  else if (path == "/kv-lease")
    response = grantLease(message.Body);
  else if (startsWith(path, "/kv-keep/"))
    response = renew(id);
  else if (startsWith(path, "/kv-lease-end/"))
    response = revokeLease(id);
  else if (path == "/kv-watch") {
    watch(request, at);
    return;
  } else
    response = emptyResponse(404);
  if (!Faults.DropResponses)
    respond(request, std::move(response));
  notifyWatches();
}

Json::Value PlatformStore::itemJson(const std::string &key,
                                    const Item &item) const {
  Json::Value value;
  value["key"] = key;
  value["value"] = base64(item.Value);
  value["revision"] = static_cast<Json::Int64>(item.ModRevision);
  value["created"] = static_cast<Json::Int64>(item.CreateRevision);
  value["lease"] = static_cast<Json::Int64>(item.Lease);
  return value;
}

HttpMessage PlatformStore::list(const std::string &path) {
  std::string prefix = queryParameter(path, "prefix");
  std::string after = queryParameter(path, "after");
  Json::Value body;
  body["items"] = Json::arrayValue;
  body["hasMore"] = false;
  body["storeRevision"] = static_cast<Json::Int64>(Revision);
  std::size_t bytes = 0;
  for (const auto &[key, item] : Items) {
    if (!startsWith(key, prefix) || key <= after)
      continue;
    if (body["items"].size() == PageItems || bytes >= PageBytes) {
      body["hasMore"] = true;
      break;
    }
    body["items"].append(itemJson(key, item));
    bytes += item.Value.size();
  }
  return jsonMessage(200, body);
}

HttpMessage PlatformStore::read(const std::string &path) const {
  auto it = Items.find(queryParameter(path, "key"));
  return it == Items.end() ? emptyResponse(404)
                           : jsonMessage(200, itemJson(it->first, it->second));
}

HttpMessage PlatformStore::applyTransaction(const std::string &body) {
  auto value = platform::parseObject(body);
  if (!value)
    return emptyResponse(400);
  for (const Json::Value &it : (*value)["precondition"]) {
    auto found = Items.find(it["key"].asString());
    std::int64_t now = found == Items.end() ? 0 : found->second.ModRevision;
    if (now != it["revision"].asInt64())
      return emptyResponse(412);
  }
  for (const Json::Value &it : (*value)["puts"]) {
    std::string key = it["key"].asString();
    if (startsWith(key, "op/") || startsWith(key, "servers/"))
      return emptyResponse(403);
    std::int64_t lease = it["lease"].asInt64();
    if (lease != 0 && !Leases.count(lease))
      return emptyResponse(404);
  }
  for (const Json::Value &it : (*value)["puts"])
    write(it["key"].asString(), fromBase64(it["value"].asString()),
          it["lease"].asInt64());
  for (const Json::Value &it : (*value)["deletes"])
    erase(it.asString());
  Json::Value done;
  done["revision"] = static_cast<Json::Int64>(Revision);
  return jsonMessage(200, done);
}

HttpMessage PlatformStore::grantLease(const std::string &body) {
  auto value = platform::parseObject(body);
  auto span =
      value ? platform::durationMember(*value, "ttl_time") : std::nullopt;
  if (!span)
    return emptyResponse(400);
  std::int64_t id = ++NextLease;
  Leases[id] = {*span, monoNow() + *span};
  Json::Value done;
  done["lease"] = static_cast<Json::Int64>(id);
  done["ttl_time"] = std::to_string(span->count()) + "ms";
  return jsonMessage(200, done);
}

HttpMessage PlatformStore::renew(std::int64_t id) {
  auto it = Leases.find(id);
  if (it == Leases.end())
    return emptyResponse(404);
  it->second.ExpiresAt = monoNow() + it->second.Ttl;
  Json::Value done;
  done["ttl_time"] = std::to_string(it->second.Ttl.count() / 1000) + "ms";
  return jsonMessage(200, done);
}

HttpMessage PlatformStore::revokeLease(std::int64_t id) {
  if (!Leases.erase(id))
    return emptyResponse(404);
  std::vector<std::string> ended;
  for (const auto &[key, item] : Items)
    if (item.Lease == id)
      ended.push_back(key);
  for (const std::string &it : ended)
    erase(it);
  return emptyResponse(200);
}

HttpMessage PlatformStore::changesAfter(const std::string &prefix,
                                        std::int64_t after, bool &hasChanges) {
  if (after < CompactedRevision || after > Revision)
    return emptyResponse(410);
  Json::Value body;
  body["events"] = Json::arrayValue;
  for (const Change &it : History) {
    if (it.Revision <= after || !startsWith(it.Key, prefix))
      continue;
    auto found = Items.find(it.Key);
    if (!it.Removed && found != Items.end()) {
      body["events"].append(itemJson(it.Key, found->second));
    } else {
      Json::Value removal;
      removal["key"] = it.Key;
      removal["revision"] = static_cast<Json::Int64>(it.Revision);
      removal["removed"] = true;
      body["events"].append(removal);
    }
    hasChanges = true;
  }
  body["storeRevision"] = static_cast<Json::Int64>(Revision);
  return jsonMessage(200, body);
}

void PlatformStore::watch(const std::shared_ptr<ServedRequest> &request,
                          const Endpoint &at) {
  std::string prefix = queryParameter(request->Message.Path, "prefix");
  std::int64_t after =
      parseNumber(queryParameter(request->Message.Path, "after"));
  bool hasChanges = false;
  HttpMessage response = changesAfter(prefix, after, hasChanges);
  if (hasChanges || response.Status != 200) {
    respond(request, std::move(response));
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(
      Io, Millis(parseNumber(queryParameter(request->Message.Path, "waitMs"))));
  Watches.push_back({request, &at, prefix, after, timer});
  timer->async_wait([this, request](const boost::system::error_code &ec) {
    if (ec)
      return;
    for (auto it = Watches.begin(); it != Watches.end(); ++it)
      if (it->Request == request) {
        bool lateChanges = false;
        HttpMessage late = changesAfter(it->Prefix, it->After, lateChanges);
        bool silent = it->At->Silent;
        Watches.erase(it);
        if (!silent)
          respond(request, std::move(late));
        return;
      }
  });
}

void PlatformStore::write(const std::string &key, const std::string &value,
                          std::int64_t lease) {
  Item &item = Items[key];
  item.Value = value;
  item.ModRevision = ++Revision;
  item.Lease = lease;
  if (item.CreateRevision == 0)
    item.CreateRevision = Revision;
  History.push_back({key, Revision, false});
}

void PlatformStore::erase(const std::string &key) {
  if (Items.erase(key))
    History.push_back({key, ++Revision, true});
}

void PlatformStore::notifyWatches() {
  if (Faults.Silent || Faults.Busy)
    return;
  for (auto it = Watches.begin(); it != Watches.end();) {
    bool hasChanges = false;
    HttpMessage response = changesAfter(it->Prefix, it->After, hasChanges);
    if (!hasChanges || it->At->Silent) {
      ++it;
      continue;
    }
    it->Timer->cancel();
    respond(it->Request, std::move(response));
    it = Watches.erase(it);
  }
}

void PlatformStore::expireLeases() {
  MonoTime now = monoNow();
  bool unavailable = Faults.Busy || Faults.Silent;
  std::vector<std::int64_t> ended;
  for (auto &[id, lease] : Leases) {
    if (unavailable && !Faults.ExpireLeases)
      lease.ExpiresAt += LeaseCheckInterval;
    else if (lease.ExpiresAt <= now)
      ended.push_back(id);
  }
  for (std::int64_t it : ended)
    revokeLease(it);
  if (!ended.empty())
    notifyWatches();
  LeaseTimer.expires_after(LeaseCheckInterval);
  LeaseTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      expireLeases();
  });
}

} // namespace savorylb::standin
