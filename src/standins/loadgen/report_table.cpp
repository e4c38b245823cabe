#include "report_table.h"

#include <iomanip>
#include <sstream>

namespace savorylb::standin {

namespace {

const char *const Counts[] = {"sent",    "done",   "not_run",   "unknown",
                              "lost",    "wrong",  "truncated", "failed",
                              "skipped", "repeats"};
constexpr int NameWidth = 16;
constexpr int CountWidth = 10;

void writeReasons(std::ostream &out, const Json::Value &row, const char *kind) {
  for (auto &name : row[kind].getMemberNames())
    out << "    " << kind << " " << name << ": " << row[kind][name].asString()
        << "\n";
}

} // namespace

std::string reportTable(const Json::Value &report) {
  std::ostringstream out;
  out << std::left << std::setw(NameWidth) << "team" << std::setw(NameWidth)
      << "service" << std::right;
  for (auto *name : Counts)
    out << std::setw(CountWidth) << name;
  for (auto *name : {"median_us", "p99_us", "max_us"})
    out << std::setw(CountWidth) << name;
  out << "\n";
  auto writeRow = [&out](const Json::Value &row, const std::string &team) {
    out << std::left << std::setw(NameWidth) << team << std::setw(NameWidth)
        << row["service"].asString() << std::right;
    for (auto *name : Counts)
      out << std::setw(CountWidth) << row[name].asString();
    if (row.isMember("latency_us"))
      for (auto *name : {"median", "p99", "max"})
        out << std::setw(CountWidth) << row["latency_us"][name].asString();
    out << "\n";
  };
  for (auto &row : report["streams"]) {
    writeRow(row, row["team"].asString());
    for (auto *kind : {"not_run_by_reason", "unknown_by_reason",
                       "lost_by_reason", "wrong_by_reason"})
      writeReasons(out, row, kind);
  }
  writeRow(report["totals"], "total");
  return out.str();
}

} // namespace savorylb::standin
