#include "store.h"

#include "json_read.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <sstream>

namespace review {

using savorylb::HttpMessage;
using savorylb::jsonResponse;
using savorylb::platform::parseObject;
using savorylb::platform::writeJson;

namespace {

constexpr Duration TickInterval = Millis(20);
/// Limits of one page of a range.
constexpr std::size_t PageItems = 500;
constexpr std::size_t PageBytes = 1 << 20;
/// Time for which changes are kept for watches.
constexpr Duration HistoryTime = Seconds(20);

std::string encode(const std::string &bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

std::string decode(const std::string &text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  std::string bytes;
  Poco::StreamCopier::copyToString(decoder, bytes);
  return bytes;
}

std::string parameter(const std::string &path, const std::string &name) {
  for (const auto &[key, value] : Poco::URI(path).getQueryParameters())
    if (key == name)
      return value;
  return "";
}

std::int64_t number(const std::string &text) {
  return text.empty() ? 0 : std::stoll(text);
}

bool startsWith(const std::string &text, const std::string &prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::int64_t lastNumber(const std::string &path) {
  return number(path.substr(path.rfind('/') + 1));
}

HttpMessage empty(int status) { return jsonResponse(status, "{}"); }

} // namespace

Store::Store(asio::io_context &io)
    : Ticker(io), Server(
                      io, [this](const auto &it) { serve(it); },
                      [](int status, const char *) { return empty(status); }) {
  savorylb::SessionLimits limits;
  limits.MaxBodyBytes = 4 << 20;
  limits.IdleTimeout = Seconds(60);
  Server.setLimits(limits);
  tick();
}

bool Store::listen(const std::string &address) {
  return Server.listen(address);
}

void Store::put(const std::string &key, const std::string &value) {
  write(key, value, 0);
  answerWatches();
}

void Store::remove(const std::string &key) {
  erase(key);
  answerWatches();
}

void Store::write(const std::string &key, const std::string &value,
                  std::int64_t lease) {
  Item &item = Items[key];
  item.Value = value;
  item.Encoded = std::make_shared<std::string>(encode(value));
  item.Lease = lease;
  item.Revision = ++Revision;
  if (item.Created == 0)
    item.Created = Revision;
  History.push_back(
      {key, Revision, false, item.Encoded, item.Created, monoNow()});
}

void Store::erase(const std::string &key) {
  if (Items.erase(key))
    History.push_back({key, ++Revision, true, nullptr, 0, monoNow()});
}

void Store::serve(const std::shared_ptr<savorylb::ServedRequest> &request) {
  const HttpMessage &message = request->Message;
  std::string path = message.Path.substr(0, message.Path.find('?'));
  if (path == "/kv-watch") {
    MonoTime now = monoNow();
    Watches.push_back(
        {request, parameter(message.Path, "prefix"),
         number(parameter(message.Path, "after")), now,
         now + Millis(number(parameter(message.Path, "waitMs")))});
    answerWatches();
    return;
  }
  if (path == "/kv-range")
    request->Respond(range(message.Path));
  else if (path == "/kv-txn")
    request->Respond(transact(message.Body));
  else if (path == "/kv-lease")
    request->Respond(grant(message.Body));
  else if (startsWith(path, "/kv-keep/"))
    request->Respond(renew(lastNumber(path)));
  else
    request->Respond(empty(404));
  answerWatches();
}

HttpMessage Store::range(const std::string &path) const {
  std::string prefix = parameter(path, "prefix");
  std::string after = parameter(path, "after");
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
    Json::Value row;
    row["key"] = key;
    row["value"] = *item.Encoded;
    row["revision"] = static_cast<Json::Int64>(item.Revision);
    row["created"] = static_cast<Json::Int64>(item.Created);
    row["lease"] = static_cast<Json::Int64>(item.Lease);
    body["items"].append(row);
    bytes += item.Value.size();
  }
  return jsonResponse(200, writeJson(body));
}

HttpMessage Store::transact(const std::string &text) {
  auto body = parseObject(text);
  if (!body)
    return empty(400);
  Json::Value state;
  state["items"] = Json::arrayValue;
  bool holds = true;
  for (const Json::Value &it : (*body)["precondition"]) {
    auto found = Items.find(it["key"].asString());
    std::int64_t now = found == Items.end() ? 0 : found->second.Revision;
    holds = holds && now == it["revision"].asInt64();
    Json::Value row;
    row["key"] = it["key"];
    row["revision"] = static_cast<Json::Int64>(now);
    state["items"].append(row);
  }
  if (!holds)
    return jsonResponse(412, writeJson(state));
  for (const Json::Value &it : (*body)["puts"]) {
    std::string key = it["key"].asString();
    std::int64_t lease = it["lease"].asInt64();
    if (startsWith(key, "op/") || startsWith(key, "servers/"))
      return empty(403);
    if (lease != 0 && !Leases.count(lease))
      return empty(404);
  }
  for (const Json::Value &it : (*body)["puts"])
    write(it["key"].asString(), decode(it["value"].asString()),
          it["lease"].asInt64());
  for (const Json::Value &it : (*body)["deletes"])
    erase(it.asString());
  Json::Value done;
  done["revision"] = static_cast<Json::Int64>(Revision);
  return jsonResponse(200, writeJson(done));
}

HttpMessage Store::grant(const std::string &text) {
  auto body = parseObject(text);
  auto ttl = body ? savorylb::platform::durationMember(*body, "ttl_time")
                  : std::nullopt;
  if (!ttl)
    return empty(400);
  Leases[++LastLease] = {*ttl, monoNow() + *ttl};
  Json::Value done;
  done["lease"] = static_cast<Json::Int64>(LastLease);
  done["ttl_time"] = std::to_string(ttl->count()) + "ms";
  return jsonResponse(200, writeJson(done));
}

HttpMessage Store::renew(std::int64_t id) {
  auto it = Leases.find(id);
  if (it == Leases.end())
    return empty(404);
  it->second.EndsAt = monoNow() + it->second.Ttl;
  Json::Value done;
  done["lease"] = static_cast<Json::Int64>(id);
  done["ttl_time"] = std::to_string(it->second.Ttl.count() / 1000) + "ms";
  return jsonResponse(200, writeJson(done));
}

Json::Value Store::eventsAfter(const Watch &watch) const {
  Json::Value events = Json::arrayValue;
  for (const Change &it : History) {
    if (it.Revision <= watch.After || !startsWith(it.Key, watch.Prefix))
      continue;
    Json::Value row;
    row["key"] = it.Key;
    row["revision"] = static_cast<Json::Int64>(it.Revision);
    if (it.Removed) {
      row["removed"] = true;
    } else {
      row["value"] = *it.Encoded;
      row["created"] = static_cast<Json::Int64>(it.Created);
      row["lease"] = 0;
    }
    events.append(row);
  }
  return events;
}

/// Answers the watches that have events or whose wait is over, and cuts those
/// that have waited for too long.
void Store::answerWatches() {
  MonoTime now = monoNow();
  for (auto it = Watches.begin(); it != Watches.end();) {
    auto request = it->Request;
    if (it->After < Discarded) {
      it = Watches.erase(it);
      request->Respond(empty(410));
      continue;
    }
    Json::Value events = eventsAfter(*it);
    if (!events.empty() || now >= it->Until) {
      Json::Value body;
      body["events"] = events;
      body["storeRevision"] = static_cast<Json::Int64>(Revision);
      it = Watches.erase(it);
      request->Respond(jsonResponse(200, writeJson(body)));
    } else if (CutWatchesAfter > Duration::zero() &&
               now - it->Since >= CutWatchesAfter) {
      it = Watches.erase(it);
      ++Cuts;
      request->Abort();
    } else {
      ++it;
    }
  }
}

void Store::tick() {
  MonoTime now = monoNow();
  for (auto it = Leases.begin(); it != Leases.end();) {
    if (it->second.EndsAt > now) {
      ++it;
      continue;
    }
    std::deque<std::string> ended;
    for (const auto &[key, item] : Items)
      if (item.Lease == it->first)
        ended.push_back(key);
    for (const std::string &key : ended)
      erase(key);
    it = Leases.erase(it);
  }
  while (!History.empty() && now - History.front().At > HistoryTime) {
    Discarded = History.front().Revision;
    History.pop_front();
  }
  answerWatches();
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      tick();
  });
}

} // namespace review
