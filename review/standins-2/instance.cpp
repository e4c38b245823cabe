#include "instance.h"

#include "json_read.h"

namespace review {

using savorylb::findField;
using savorylb::HttpMessage;
using savorylb::jsonResponse;

namespace {

std::string field(const HttpMessage &message, const char *name) {
  const std::string *found = findField(message, name);
  return found ? *found : "";
}

} // namespace

Instance::Instance(asio::io_context &io, Store &store, Record &record,
                   std::vector<Arrival> &arrivals, Options options)
    : Io(io), Registry(store), Log(record), Arrivals(arrivals),
      Settings(std::move(options)),
      Server(std::make_unique<savorylb::HttpServer>(
          io, [this](const auto &it) { serve(it); },
          [](int status, const char *) { return jsonResponse(status, "{}"); })),
      Born(savorylb::wallNow().time_since_epoch().count()) {}

bool Instance::start() {
  if (!Server->listen(Settings.Address))
    return false;
  Registry.put("servers/" + Settings.Id,
               savorylb::platform::writeJson(entry()));
  return true;
}

Json::Value Instance::entry() const {
  Json::Value value;
  value["address"] = Settings.Address;
  value["born"] = static_cast<Json::Int64>(Born);
  value["information"]["service"] = Settings.Service;
  value["information"]["version"] = "v1";
  value["information"]["zone"] = Settings.Zone;
  value["information"]["slots"] = Settings.Slots;
  value["status"]["state"] = "ready";
  value["status"]["sequence"] = 1;
  value["status"]["warmupRemaining"] = "0ms";
  return value;
}

void Instance::drain() {
  Leaving = true;
  Json::Value value = entry();
  value["status"]["state"] = "draining";
  value["status"]["sequence"] = 2;
  Registry.put("servers/" + Settings.Id, savorylb::platform::writeJson(value));
  LeftAt = monoNow();
  Log.line("the store accepts the report of " + Settings.Id +
           " that it drains");
}

void Instance::leave() {
  Leaving = true;
  Registry.remove("servers/" + Settings.Id);
  LeftAt = monoNow();
  Log.line("the store accepts the removal of the entry of " + Settings.Id);
}

void Instance::end() {
  Ended = true;
  // Closing a connection removes its request from Running.
  auto running = std::move(Running);
  Running.clear();
  for (const auto &[index, request] : running) {
    Log.line(Settings.Id + " breaks off attempt " + Arrivals[index].Attempt);
    request->Abort();
  }
  Server->closeIdle();
  Log.line(Settings.Id + " ends");
}

/// An instance that leaves says so in all its answers.
void Instance::addNotice(HttpMessage &response) const {
  if (Leaving)
    response.Fields.emplace_back("Server-Leaving", "1");
}

void Instance::serve(const std::shared_ptr<savorylb::ServedRequest> &request) {
  if (Ended) {
    request->Abort();
    return;
  }
  const HttpMessage &message = request->Message;
  std::size_t index = Arrivals.size();
  std::string attempt = field(message, "Savorylb-Attempt-Id");
  Arrivals.push_back({Settings.Id,
                      attempt,
                      message.Method,
                      message.Path,
                      message.Body,
                      false,
                      monoNow(),
                      {}});
  bool misdirected =
      field(message, "Savorylb-Expected-Instance") != Settings.Id;
  bool full = static_cast<int>(Running.size()) >= Settings.Slots;
  HttpMessage response;
  response.Fields = {
      {"Savorylb-Attempt-Id", attempt},
      {"Savorylb-Server-Load", std::to_string(Running.size()) + ",0," +
                                   std::to_string(Settings.Slots)}};
  std::string what = message.Method + " " + message.Path + ", attempt " +
                     attempt + " reaches " + Settings.Id;
  if (misdirected || full) {
    response.Status = misdirected ? 421 : 503;
    addNotice(response);
    response.Fields.emplace_back("Savorylb-Not-Executed", "1");
    Log.line(what + ", which rejects it with " +
             std::to_string(response.Status));
    request->Respond(std::move(response));
    return;
  }
  Log.line(what + ", which runs it" + (Leaving ? " (leaving)" : ""));
  Arrivals[index].Ran = true;
  Running[index] = request;
  // Most instances drop a request when its connection closes.
  request->OnClose = [this, index] { Running.erase(index); };
  Duration span = RunTimeOf ? RunTimeOf(message.Path) : Settings.RunTime;
  auto timer = std::make_shared<asio::steady_timer>(Io, span);
  timer->async_wait([this, index, attempt, response,
                     timer](const boost::system::error_code &) mutable {
    auto it = Running.find(index);
    if (it == Running.end())
      return;
    auto ended = it->second;
    Running.erase(it);
    ended->OnClose = nullptr;
    Arrivals[index].EndedAt = monoNow();
    response.Status = 200;
    response.Fields.emplace_back("Savorylb-Server-Signature", Settings.Id);
    response.Body = "result of " + attempt;
    addNotice(response);
    Log.line(Settings.Id + " ends the run of attempt " + attempt +
             " and answers 200");
    ended->Respond(std::move(response));
  });
}

} // namespace review
