#include "stream_report.h"

#include <algorithm>

namespace savorylb::standin {

namespace {

Json::Value mapJson(const std::map<std::string, std::uint64_t> &it) {
  Json::Value out(Json::objectValue);
  for (auto &row : it)
    out[row.first] = static_cast<Json::UInt64>(row.second);
  return out;
}

} // namespace

Json::Value latencyJson(std::vector<std::uint32_t> micros) {
  std::sort(micros.begin(), micros.end());
  auto at = [&micros](std::size_t percent) {
    return micros.empty() ? 0 : micros[(micros.size() - 1) * percent / 100];
  };
  Json::Value out;
  out["median"] = at(50);
  out["p99"] = at(99);
  out["max"] = at(100);
  return out;
}

std::size_t StreamReport::secondOf(Clock::time_point t) const {
  return static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(t - Start).count());
}

void StreamReport::record(const RequestRecord &rec, Clock::time_point sentAt) {
  auto now = Clock::now();
  std::lock_guard<std::mutex> guard(Lock);
  ++Totals.Sent;
  ++Seconds[secondOf(sentAt)].Sent;
  Totals.addOutcome(rec);
  Seconds[secondOf(now)].addOutcome(rec);
  Repeats += rec.Repeat;
  RanTwice += rec.RanTwice;
  Attempts += static_cast<std::uint64_t>(rec.Attempts);
  StartLags.push_back(static_cast<std::uint32_t>(rec.StartLagMicros));
  Rows.push_back({rec.Identity, rec.FinalOutcome, rec.Reason, rec.Repeat});
  if (!rec.ServedBy.empty()) {
    auto &it = ServedBy[rec.ServedBy];
    ++it.first;
    it.second =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - Start)
            .count();
  }
  switch (rec.FinalOutcome) {
  case Outcome::Done:
    Latencies.push_back(static_cast<std::uint32_t>(rec.LatencyMicros));
    if (rec.Wrong)
      ++WrongReasons[rec.Reason];
    if (!rec.Version.empty())
      ++Versions[rec.Version];
    break;
  case Outcome::NotRun:
    ++NotRunReasons[rec.Reason];
    break;
  case Outcome::Unknown:
    ++UnknownReasons[rec.Reason];
    break;
  case Outcome::Lost:
    ++LostReasons[rec.Reason];
    break;
  }
}

void StreamReport::countSkipped() {
  std::lock_guard<std::mutex> guard(Lock);
  ++Skipped;
}

Json::Value StreamReport::summary(const StreamPlan &plan) const {
  std::lock_guard<std::mutex> guard(Lock);
  Json::Value out;
  out["team"] = plan.Team;
  out["service"] = plan.Service;
  out["method"] = plan.Method;
  out["path"] = plan.Path;
  out["at_most_once"] = plan.AtMostOnce;
  Totals.writeTo(out);
  out["skipped"] = static_cast<Json::UInt64>(Skipped);
  out["repeats"] = static_cast<Json::UInt64>(Repeats);
  out["attempts"] = static_cast<Json::UInt64>(Attempts);
  out["ran_twice"] = static_cast<Json::UInt64>(RanTwice);
  out["not_run_by_reason"] = mapJson(NotRunReasons);
  out["unknown_by_reason"] = mapJson(UnknownReasons);
  out["lost_by_reason"] = mapJson(LostReasons);
  out["wrong_by_reason"] = mapJson(WrongReasons);
  out["versions"] = mapJson(Versions);
  out["latency_us"] = latencyJson(Latencies);
  out["start_lag_us"] = latencyJson(StartLags);
  out["served_by"] = Json::Value(Json::objectValue);
  for (auto &it : ServedBy) {
    out["served_by"][it.first]["count"] =
        static_cast<Json::UInt64>(it.second.first);
    out["served_by"][it.first]["last_ms"] =
        static_cast<Json::Int64>(it.second.second);
  }
  return out;
}

Json::Value StreamReport::timeline() const {
  std::lock_guard<std::mutex> guard(Lock);
  Json::Value out(Json::arrayValue);
  for (auto &it : Seconds) {
    Json::Value row;
    row["second"] = static_cast<Json::UInt64>(it.first);
    it.second.writeTo(row);
    out.append(row);
  }
  return out;
}

Json::Value StreamReport::identities() const {
  std::lock_guard<std::mutex> guard(Lock);
  Json::Value out(Json::arrayValue);
  for (auto &it : Rows) {
    Json::Value row;
    row["key"] = it.Identity;
    row["outcome"] = nameOf(it.FinalOutcome);
    row["reason"] = it.Reason;
    row["repeat"] = it.Repeat;
    out.append(row);
  }
  return out;
}

} // namespace savorylb::standin
