#include "report_table.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>
#include <utility>

namespace savorylb::standin {

namespace {

const char *const CountNames[] = {"sent",    "done",   "not_run",   "unknown",
                                  "lost",    "wrong",  "truncated", "failed",
                                  "skipped", "repeats"};
const char *const LatencyNames[] = {"median", "p99", "max"};
const char *const ReasonGroups[] = {"not_run_by_reason", "unknown_by_reason",
                                    "lost_by_reason", "wrong_by_reason"};
constexpr int NameWidth = 16;
constexpr int CountWidth = 10;

void writeReasons(std::ostream &out, const Json::Value &row,
                  const char *group) {
  for (auto &name : row[group].getMemberNames())
    out << "    " << group << " " << name << ": " << row[group][name].asString()
        << "\n";
}

// Adds a stream's counts and reasons to the row of its team and service. Each
// latency of the row is the maximum over its streams.
void addStream(Json::Value &row, const Json::Value &stream) {
  row["service"] = stream["service"];
  for (auto *name : CountNames)
    row[name] = row[name].asUInt64() + stream[name].asUInt64();
  for (auto *group : ReasonGroups)
    for (auto &name : stream[group].getMemberNames())
      row[group][name] =
          row[group][name].asUInt64() + stream[group][name].asUInt64();
  for (auto *name : LatencyNames)
    row["latency_us"][name] = std::max(row["latency_us"][name].asUInt64(),
                                       stream["latency_us"][name].asUInt64());
}

void writeRow(std::ostream &out, const Json::Value &row,
              const std::string &team) {
  out << std::left << std::setw(NameWidth) << team << std::setw(NameWidth)
      << row["service"].asString() << std::right;
  for (auto *name : CountNames)
    out << std::setw(CountWidth) << row[name].asString();
  if (row.isMember("latency_us"))
    for (auto *name : LatencyNames)
      out << std::setw(CountWidth) << row["latency_us"][name].asString();
  out << "\n";
}

} // namespace

std::string reportTable(const Json::Value &report) {
  std::ostringstream out;
  out << std::left << std::setw(NameWidth) << "team" << std::setw(NameWidth)
      << "service" << std::right;
  for (auto *name : CountNames)
    out << std::setw(CountWidth) << name;
  for (auto *name : LatencyNames)
    out << std::setw(CountWidth) << std::string(name) + "_us";
  out << "\n";
  std::map<std::pair<std::string, std::string>, Json::Value> rows;
  for (auto &it : report["streams"])
    addStream(rows[{it["team"].asString(), it["service"].asString()}], it);
  for (auto &[key, row] : rows) {
    writeRow(out, row, key.first);
    for (auto *group : ReasonGroups)
      writeReasons(out, row, group);
  }
  writeRow(out, report["totals"], "total");
  return out.str();
}

} // namespace savorylb::standin
