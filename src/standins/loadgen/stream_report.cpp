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

void StreamReport::note(const RequestRecord &rec, Clock::time_point sentAt) {
  auto now = Clock::now();
  std::lock_guard<std::mutex> guard(Lock);
  ++Totals.Sent;
  ++Seconds[secondOf(sentAt)].Sent;
  Totals.addEnd(rec);
  Seconds[secondOf(now)].addEnd(rec);
  Repeats += rec.Repeat;
  RanTwice += rec.RanTwice;
  Attempts += static_cast<std::uint64_t>(rec.Attempts);
  StartLags.push_back(static_cast<std::uint32_t>(rec.StartLagMicros));
  Ends.push_back({rec.Identity, rec.End, rec.Reason, rec.Repeat});
  if (!rec.ServedBy.empty()) {
    auto &it = ServedBy[rec.ServedBy];
    ++it.first;
    it.second =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - Start)
            .count();
  }
  switch (rec.End) {
  case Outcome::Done:
    Latencies.push_back(static_cast<std::uint32_t>(rec.Micros));
    if (rec.Wrong)
      ++WrongReasons[rec.Reason];
    if (!rec.Version.empty())
      ++Versions[rec.Version];
    break;
  case Outcome::NotRun:
    ++NotRun[rec.Reason];
    break;
  case Outcome::Unknown:
    ++Unknown[rec.Reason];
    break;
  case Outcome::Lost:
    ++Lost[rec.Reason];
    break;
  }
}

void StreamReport::skip() {
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
  Totals.write(out);
  out["skipped"] = static_cast<Json::UInt64>(Skipped);
  out["repeats"] = static_cast<Json::UInt64>(Repeats);
  out["attempts"] = static_cast<Json::UInt64>(Attempts);
  out["ran_twice"] = static_cast<Json::UInt64>(RanTwice);
  out["not_run_by_reason"] = mapJson(NotRun);
  out["unknown_by_reason"] = mapJson(Unknown);
  out["lost_by_reason"] = mapJson(Lost);
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
    it.second.write(row);
    out.append(row);
  }
  return out;
}

Json::Value StreamReport::identities() const {
  std::lock_guard<std::mutex> guard(Lock);
  Json::Value out(Json::arrayValue);
  for (auto &it : Ends) {
    Json::Value row;
    row["key"] = it.Identity;
    row["outcome"] = nameOf(it.End);
    row["reason"] = it.Reason;
    row["repeat"] = it.Repeat;
    out.append(row);
  }
  return out;
}

} // namespace savorylb::standin
