#include "peer_codec.h"

#include "http_connection.h"
#include "json_read.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace savorylb {
namespace {

using platform::integerMember;
using platform::member;
using platform::parseObject;
using platform::stringMember;
using platform::writeJson;

/// Bounds of the numbers in messages, so that sums of them do not overflow.
constexpr double MaxRate = 1e9;
constexpr std::int64_t MaxCount = 1'000'000'000;

/// \returns whether a value is a finite number of at most MaxRate.
bool isRate(const Json::Value &value) {
  return value.isNumeric() && std::fabs(value.asDouble()) <= MaxRate;
}

bool isCount(const Json::Value &value) {
  return value.isInt64() && value.asInt64() >= 0 && value.asInt64() <= MaxCount;
}

/// \returns a member of an object; 0 if it is missing or not a rate.
double rateMember(const Json::Value &object, const std::string &name) {
  if (!object.isObject())
    return 0;
  const Json::Value &value = object[name];
  return isRate(value) ? value.asDouble() : 0;
}

Json::Value entryValue(const VmEntry &entry) {
  Json::Value value;
  value["vm"] = entry.Vm.Value;
  value["zone"] = entry.Zone.Value;
  value["region"] = entry.Region.Value;
  value["callers"] = entry.CallerAddress;
  value["peers"] = entry.PeerAddress;
  value["start"] = entry.StartId;
  return value;
}

Result<VmEntry> readEntry(const Json::Value &value) {
  VmEntry entry;
  entry.Vm = VmId(stringMember(value, "vm").value_or(""));
  entry.Zone = ZoneId(stringMember(value, "zone").value_or(""));
  entry.Region = RegionId(stringMember(value, "region").value_or(""));
  entry.CallerAddress = stringMember(value, "callers").value_or("");
  entry.PeerAddress = stringMember(value, "peers").value_or("");
  entry.StartId = stringMember(value, "start").value_or("");
  if (entry.Vm.empty() || entry.CallerAddress.empty())
    return failure(ErrorCode::Malformed, "the VM entry lacks a required field");
  if (!parseEndpoint(entry.CallerAddress) || !parseEndpoint(entry.PeerAddress))
    return failure(ErrorCode::Malformed, "the VM entry has an invalid address");
  return entry;
}

/// Reads a revision and its era; VMs of earlier builds send no era.
StorePosition readRevision(const Json::Value &value, const char *name) {
  return {StoreEra(integerMember(value, "era").value_or(0)),
          Revision(integerMember(value, name).value_or(0))};
}

Json::Value tallyValue(const VersionTally &tally) {
  Json::Value value;
  value.append(static_cast<Json::Int64>(tally.Responses));
  value.append(static_cast<Json::Int64>(tally.Failures));
  value.append(static_cast<Json::Int64>(tally.Slow));
  return value;
}

VersionTally readTally(const Json::Value &value) {
  VersionTally tally;
  if (!value.isArray() || value.size() != 3 || !isCount(value[0]) ||
      !isCount(value[1]) || !isCount(value[2]))
    return tally;
  tally.Responses = value[0].asInt64();
  tally.Failures = value[1].asInt64();
  tally.Slow = value[2].asInt64();
  return tally;
}

} // namespace

std::string writeVmEntry(const VmEntry &entry) {
  return writeJson(entryValue(entry));
}

Result<VmEntry> readVmEntry(const std::string &text) {
  auto value = parseObject(text);
  if (!value)
    return failure(ErrorCode::Malformed, "the VM entry is not a JSON object");
  return readEntry(*value);
}

std::string writeTeamMessage(const TeamMessage &message) {
  Json::Value value;
  value["team_message"] = message.Vm.Value;
  for (const auto &[team, usage] : message.Usages) {
    Json::Value &row = value["uses"][team.Value];
    row.append(usage.Arrivals);
    row.append(usage.Admitted);
    row.append(static_cast<Json::Int64>(usage.Span.count()));
  }
  for (const auto &[team, grant] : message.Grants) {
    value["parts"][team.Value] = std::round(grant.Fraction * 1000) / 1000;
    value["shares"][team.Value] = std::round(grant.Share * 1e5) / 1e5;
    value["tokens"][team.Value] = std::round(grant.Tokens * 100) / 100;
  }
  return writeJson(value);
}

Result<TeamMessage> readTeamMessage(const std::string &text) {
  auto value = parseObject(text);
  if (!value || !stringMember(*value, "team_message"))
    return failure(ErrorCode::Malformed, "not a team message");
  TeamMessage message;
  message.Vm = VmId(*stringMember(*value, "team_message"));
  const Json::Value &usages = member(*value, "uses");
  if (usages.isObject())
    for (const std::string &it : usages.getMemberNames()) {
      const Json::Value &row = usages[it];
      if (!row.isArray() || row.size() != 3 || !isRate(row[0]) ||
          !isRate(row[1]) || !isCount(row[2]))
        return failure(ErrorCode::Malformed,
                       "a team's usage is not an array of three numbers");
      message.Usages[TeamId(it)] = {row[0].asDouble(), row[1].asDouble(),
                                    Duration(row[2].asInt64())};
    }
  const Json::Value &fractions = member(*value, "parts");
  const Json::Value &shares = member(*value, "shares");
  const Json::Value &tokens = member(*value, "tokens");
  if (fractions.isObject())
    for (const std::string &it : fractions.getMemberNames()) {
      if (!isRate(fractions[it]))
        continue;
      TeamGrant &grant = message.Grants[TeamId(it)];
      grant.Fraction = std::clamp(fractions[it].asDouble(), 0.0, 1.0);
      // VMs of earlier builds send neither shares nor tokens.
      grant.Share = std::clamp(rateMember(shares, it), 0.0, 1.0);
      grant.Tokens = std::max(0.0, rateMember(tokens, it));
    }
  return message;
}

std::string writeLoadReport(const LoadReport &report) {
  Json::Value value;
  value["loads"] = report.Vm.Value;
  for (const LoadReading &it : report.Readings) {
    Json::Value &row = value["rows"].append(Json::arrayValue);
    row.append(it.Target.Value);
    row.append(it.Requests);
    row.append(it.MachineSlowness);
    row.append(static_cast<Json::Int64>(it.Age.count() / 1000));
  }
  return writeJson(value);
}

Result<LoadReport> readLoadReport(const std::string &text) {
  auto value = parseObject(text);
  if (!value || !stringMember(*value, "loads"))
    return failure(ErrorCode::Malformed, "not a load report");
  LoadReport report;
  report.Vm = VmId(*stringMember(*value, "loads"));
  for (const Json::Value &row : member(*value, "rows")) {
    if (!row.isArray() || row.size() != 4 || !row[0].isString() ||
        !isCount(row[1]) || !isCount(row[2]) || !isCount(row[3]))
      return failure(ErrorCode::Malformed,
                     "a load is not a target and three numbers");
    if (report.Readings.size() < MaxReadings)
      report.Readings.push_back({TargetId(row[0].asString()), row[1].asInt(),
                                 row[2].asInt(), Millis(row[3].asInt64())});
  }
  return report;
}

std::string writeUsageReport(const UsageReport &report) {
  Json::Value value;
  Json::Value &usage = value["usage"];
  usage["vm"] = report.Vm.Value;
  usage["start"] = report.StartId;
  usage["seq"] = static_cast<Json::Int64>(report.Sequence);
  usage["windows"] = Json::objectValue;
  for (const auto &[window, counts] : report.Windows) {
    Json::Value &row = usage["windows"][std::to_string(window.Value)];
    row = Json::objectValue;
    for (const auto &[team, n] : counts)
      row[team.Value] = static_cast<Json::Int64>(n);
  }
  return writeJson(value);
}

Result<UsageReport> readUsageReport(const std::string &text) {
  auto value = parseObject(text);
  if (!value || !member(*value, "usage").isObject())
    return failure(ErrorCode::Malformed, "not a usage report");
  const Json::Value &usage = (*value)["usage"];
  UsageReport report;
  report.Vm = VmId(stringMember(usage, "vm").value_or(""));
  report.StartId = stringMember(usage, "start").value_or("");
  report.Sequence = integerMember(usage, "seq").value_or(0);
  const Json::Value &windows = member(usage, "windows");
  if (report.Vm.empty() || report.StartId.empty() || !windows.isObject())
    return failure(ErrorCode::Malformed, "the usage report lacks a field");
  for (const std::string &it : windows.getMemberNames()) {
    char *end = nullptr;
    UsageWindow window(std::strtoll(it.c_str(), &end, 10));
    const Json::Value &row = windows[it];
    if (*end != 0 || it.empty() || !row.isObject())
      return failure(ErrorCode::Malformed, "a window of a usage report");
    TeamCounts &counts = report.Windows[window];
    for (const std::string &team : row.getMemberNames()) {
      if (!isCount(row[team]))
        return failure(ErrorCode::Malformed, "a count of a usage report");
      counts[TeamId(team)] = row[team].asInt64();
    }
  }
  return report;
}

std::string writePeerReport(const PeerReport &report) {
  Json::Value value = entryValue(report.Vm);
  value["draining"] = report.Draining;
  value["documents"] =
      static_cast<Json::Int64>(report.DocumentsRevision.Number.Value);
  value["era"] = static_cast<Json::Int64>(report.DocumentsRevision.Era.Value);
  value["config"] = static_cast<Json::Int64>(report.ConfigVersion);
  if (report.Wall)
    value["wall_ms"] =
        static_cast<Json::Int64>(report.Wall->time_since_epoch().count());
  for (const auto &[team, rate] : report.Demand)
    value["demand"][team.Value] = static_cast<int>(rate * 100) / 100.0;
  for (const auto &[team, share] : report.Shares)
    value["shares"][team.Value] = std::round(share * 1e5) / 1e5;
  for (const auto &[service, rollout] : report.Rollouts) {
    Json::Value &out = value["rollouts"][service.Value];
    out["ordered"] =
        static_cast<Json::Int64>(rollout.OrderRevision.Number.Value);
    out["era"] = static_cast<Json::Int64>(rollout.OrderRevision.Era.Value);
    out["elapsed_ms"] =
        static_cast<Json::Int64>(rollout.Elapsed.count() / 1000);
    out["bad"] = rollout.Bad;
    for (const auto &[route, tally] : rollout.Evidence) {
      out["routes"][route.Value]["new"] = tallyValue(tally.NewVersion);
      out["routes"][route.Value]["old"] = tallyValue(tally.OldVersion);
    }
  }
  return writeJson(value);
}

Result<PeerReport> readPeerReport(const std::string &text) {
  auto value = parseObject(text);
  if (!value)
    return failure(ErrorCode::Malformed, "the report is not a JSON object");
  auto entry = readEntry(*value);
  if (!entry)
    return failure(ErrorCode::Malformed, entry.error().Message);
  PeerReport report;
  report.Vm = entry.value();
  report.Draining =
      member(*value, "draining").isBool() && (*value)["draining"].asBool();
  report.DocumentsRevision = readRevision(*value, "documents");
  report.ConfigVersion = integerMember(*value, "config").value_or(0);
  if (auto wall = integerMember(*value, "wall_ms"))
    report.Wall = WallTime(Millis(*wall));
  const Json::Value &demand = member(*value, "demand");
  if (demand.isObject())
    for (const std::string &it : demand.getMemberNames())
      if (isRate(demand[it]))
        report.Demand[TeamId(it)] = std::max(0.0, demand[it].asDouble());
  const Json::Value &shares = member(*value, "shares");
  if (shares.isObject())
    for (const std::string &it : shares.getMemberNames())
      report.Shares[TeamId(it)] = std::clamp(rateMember(shares, it), 0.0, 1.0);
  const Json::Value &rollouts = member(*value, "rollouts");
  if (rollouts.isObject())
    for (const std::string &it : rollouts.getMemberNames()) {
      const Json::Value &in = rollouts[it];
      PeerReport::Rollout rollout;
      rollout.OrderRevision = readRevision(in, "ordered");
      if (isCount(member(in, "elapsed_ms")))
        rollout.Elapsed = Millis(in["elapsed_ms"].asInt64());
      rollout.Bad = member(in, "bad").isBool() && in["bad"].asBool();
      const Json::Value &routes = member(in, "routes");
      if (routes.isObject())
        for (const std::string &route : routes.getMemberNames())
          rollout.Evidence[RouteId(route)] = {
              readTally(member(routes[route], "new")),
              readTally(member(routes[route], "old"))};
      report.Rollouts[ServiceId(it)] = rollout;
    }
  return report;
}

} // namespace savorylb
