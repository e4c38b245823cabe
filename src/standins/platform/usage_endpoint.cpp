#include "usage_endpoint.h"

#include "json_read.h"
#include "savorylb/clock.h"

#include <algorithm>
#include <cstdlib>
#include <optional>

namespace savorylb::standin {
namespace {

std::optional<platform::UsageCall> parseCall(const HttpMessage &message) {
  const std::string *holder = findField(message, "Savorylb-Duty-Holder");
  const std::string *token = findField(message, "Savorylb-Fencing-Token");
  auto body = platform::parseObject(message.Body);
  bool isReport = message.Method == "POST" && message.Path == "/usage";
  if (!isReport || !holder || !token || token->empty() || !body)
    return std::nullopt;
  char *end = nullptr;
  FencingToken number(std::strtoll(token->c_str(), &end, 10));
  auto window = platform::integerMember(*body, "window");
  const Json::Value &counts = platform::member(*body, "counts");
  if (*end != 0 || !window || !counts.isObject())
    return std::nullopt;
  platform::UsageCall call{VmId(*holder), number, UsageWindow(*window), {}};
  for (const std::string &it : counts.getMemberNames()) {
    if (!counts[it].isInt64() || counts[it].asInt64() < 0)
      return std::nullopt;
    call.Counts[TeamId(it)] = counts[it].asInt64();
  }
  return call;
}

std::string describe(const platform::UsageCall &call) {
  return "usage report of window " + std::to_string(call.Window.Value) +
         " by " + call.Holder.Value + " with token " +
         std::to_string(call.Token.Value) + ": ";
}

bool exceedsRate(const UsageLedger &ledger, int callsPerSecond, MonoTime now) {
  int n = 0;
  for (const ReceivedUsage &it : ledger.Calls)
    n += it.Status != 429 && now - it.ArrivedAt < Seconds(1);
  return n > callsPerSecond;
}

/// Records that a holder acts, and finds one that has regained the duty too
/// early.
void recordHolder(UsageLedger &ledger, const ReceivedUsage &received,
                  const UsageRules &rules) {
  const VmId &holder = received.Call.Holder;
  auto acted = ledger.ActedAt.find(holder);
  if (holder != ledger.LastHolder && acted != ledger.ActedAt.end() &&
      received.ArrivedAt - acted->second < rules.Lease)
    ledger.Violations.push_back(describe(received.Call) +
                                "acts again within the lease, after " +
                                ledger.LastHolder.Value);
  ledger.LastHolder = holder;
  ledger.ActedAt[holder] = received.ArrivedAt;
}

} // namespace

std::size_t receiveUsage(UsageLedger &ledger, const platform::UsageCall &call,
                         MonoTime now) {
  auto known = ledger.TokenHolders.emplace(call.Token, call.Holder).first;
  if (known->second != call.Holder)
    ledger.Violations.push_back(describe(call) + "the token is that of " +
                                known->second.Value);
  ledger.Calls.push_back({now, call, 0});
  return ledger.Calls.size() - 1;
}

int executeUsage(UsageLedger &ledger, std::size_t index,
                 const UsageRules &rules) {
  ReceivedUsage &received = ledger.Calls[index];
  const platform::UsageCall &call = received.Call;
  if (call.Token < ledger.HighestToken) {
    if (rules.ChecksToken)
      return received.Status = 409;
    ledger.Violations.push_back(describe(call) + "arrives after token " +
                                std::to_string(ledger.HighestToken.Value));
  }
  ledger.HighestToken = std::max(ledger.HighestToken, call.Token);
  auto known = ledger.Accepted.emplace(call.Window, call.Counts).first;
  if (known->second != call.Counts)
    ledger.Violations.push_back(describe(call) +
                                "differs from an earlier report");
  recordHolder(ledger, received, rules);
  return received.Status = 200;
}

UsageEndpoint::UsageEndpoint(asio::io_context &io)
    : Io(io),
      Server(
          io, [this](const auto &request) { serve(request); },
          [](int code, const char *) { return jsonResponse(code, "{}"); }) {}

void UsageEndpoint::serve(const std::shared_ptr<ServedRequest> &request) {
  auto call = parseCall(request->Message);
  if (!call) {
    Ledger.Violations.push_back("invalid usage report: " +
                                request->Message.Body);
    request->Respond(jsonResponse(400, "{}"));
    return;
  }
  MonoTime now = monoNow();
  std::size_t index = receiveUsage(Ledger, *call, now);
  if (Fault == UsageFault::Lost)
    return;
  if (Fault == UsageFault::Busy ||
      exceedsRate(Ledger, Rules.CallsPerSecond, now)) {
    int status = Fault == UsageFault::Busy ? 503 : 429;
    Ledger.Calls[index].Status = status;
    request->Respond(jsonResponse(status, "{}"));
    return;
  }
  if (Fault == UsageFault::Late) {
    auto timer = std::make_shared<asio::steady_timer>(Io, Delay);
    timer->async_wait([this, index, timer](const boost::system::error_code &) {
      executeUsage(Ledger, index, Rules);
    });
    return;
  }
  int status = executeUsage(Ledger, index, Rules);
  if (Fault == UsageFault::Reset)
    request->Abort();
  else
    request->Respond(jsonResponse(status, "{}"));
}

} // namespace savorylb::standin
