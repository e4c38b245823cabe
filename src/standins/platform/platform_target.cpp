#include "platform_target.h"

#include "json_read.h"

namespace savorylb::standin {
namespace {

constexpr int Slots = 4;

std::string field(const HttpMessage &message, const char *name) {
  const std::string *found = findField(message, name);
  return found ? *found : "";
}

} // namespace

std::string targetEntry(const std::string &address, const std::string &service,
                        const std::string &zone, const std::string &version,
                        const std::string &state, int sequence,
                        std::int64_t startedAt) {
  Json::Value entry;
  entry["address"] = address;
  entry["born"] = static_cast<Json::Int64>(startedAt);
  entry["information"]["service"] = service;
  entry["information"]["version"] = version;
  entry["information"]["zone"] = zone;
  entry["information"]["slots"] = Slots;
  entry["status"]["state"] = state;
  entry["status"]["sequence"] = sequence;
  entry["status"]["warmupRemaining"] = "0ms";
  return platform::writeJson(entry);
}

PlatformTarget::PlatformTarget(asio::io_context &io, PlatformStore &store,
                               std::string id, std::string service,
                               std::string zone, std::string version)
    : Io(io), Store(store),
      Server(
          io, [this](const auto &request) { serve(request); },
          [](int code, const char *) { return jsonResponse(code, "{}"); }),
      Id(std::move(id)), Service(std::move(service)), Zone(std::move(zone)),
      Version(std::move(version)) {}

bool PlatformTarget::listen(const std::string &address) {
  Address = address;
  return Server.listen(address);
}

void PlatformTarget::registerEntry(const std::string &state) {
  Store.put("servers/" + Id, targetEntry(Address, Service, Zone, Version, state,
                                         ++Sequence, StartedAt));
}

void PlatformTarget::serve(const std::shared_ptr<ServedRequest> &request) {
  const HttpMessage &message = request->Message;
  ++Received;
  KeysSeen += findField(message, "Authorization") != nullptr;
  LastTeam = field(message, "Savorylb-Tenant");
  bool misdirected = Mode == TargetMode::Misdirected ||
                     field(message, "Savorylb-Expected-Instance") != Id;
  if (misdirected || Mode == TargetMode::Shed) {
    HttpMessage refused = jsonResponse(misdirected ? 421 : 503, "{}");
    refused.Fields = {
        {"Savorylb-Attempt-Id", field(message, "Savorylb-Attempt-Id")},
        {"Savorylb-Not-Executed", "1"}};
    addNotices(refused);
    request->Respond(std::move(refused));
    return;
  }
  ++Runs[field(message, "Savorylb-Attempt-Id")];
  ++Running;
  auto disconnected = std::make_shared<bool>(false);
  request->OnClose = [this, disconnected] {
    *disconnected = true;
    ++Cancelled;
  };
  auto timer = std::make_shared<asio::steady_timer>(Io, ServiceTime);
  timer->async_wait(
      [this, request, disconnected, timer](const boost::system::error_code &) {
        --Running;
        if (!*disconnected)
          answer(request);
      });
}

void PlatformTarget::addNotices(HttpMessage &response) const {
  if (Leaving)
    response.Fields.emplace_back("Server-Leaving", "1");
  if (response.Status == 503 && !RetryAfter.empty())
    response.Fields.emplace_back("Retry-After", RetryAfter);
}

void PlatformTarget::answer(const std::shared_ptr<ServedRequest> &request) {
  if (Mode == TargetMode::Silent)
    return;
  request->OnClose = nullptr;
  if (Mode == TargetMode::DropResponse) {
    request->Abort();
    return;
  }
  const HttpMessage &message = request->Message;
  std::string attempt = field(message, "Savorylb-Attempt-Id");
  HttpMessage response;
  response.Status = Mode == TargetMode::Fail ? 500 : 200;
  response.Fields = {
      {"Savorylb-Attempt-Id",
       Mode == TargetMode::WrongAttemptId ? "other" : attempt},
      {"Savorylb-Server-Load", std::to_string(Running) + ",0,4"}};
  if (Mode != TargetMode::Unsigned)
    response.Fields.emplace_back("Savorylb-Server-Signature", Id);
  addNotices(response);
  response.Body = "answer to " + attempt + std::string(PaddingBytes, '.');
  request->Respond(std::move(response));
}

} // namespace savorylb::standin
