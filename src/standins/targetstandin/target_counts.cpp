#include "target_counts.h"

#include <algorithm>

namespace savorylb::standin {

namespace {

// Reported even when zero, so that tests can compare them. Other counters are
// reported only once something was counted.
const char *const AlwaysListed[] = {
    "requests",  "executed",    "over_slots", "highest_concurrency",
    "keys_seen", "shed",        "failed",     "second_executions",
    "cancelled", "deadline",    "truncated",  "crossed",
    "silent",    "after_drain", "closed",     "once_on_silent"};

} // namespace

void addCounts(TargetCounts &sum, const TargetCounts &it) {
  for (auto &n : it.Counters) {
    auto &entry = sum.Counters[n.first];
    entry = n.first == "highest_concurrency" ? std::max(entry, n.second)
                                             : entry + n.second;
  }
  for (auto &v : it.RequestsByVersion)
    for (auto &s : v.second)
      sum.RequestsByVersion[v.first][s.first] += s.second;
}

Json::Value countsJson(const TargetCounts &it) {
  Json::Value out;
  for (auto *name : AlwaysListed)
    out[name] = 0;
  for (auto &n : it.Counters)
    out[n.first] = static_cast<Json::UInt64>(n.second);
  out["versions"] = Json::Value(Json::objectValue);
  for (auto &v : it.RequestsByVersion) {
    std::uint64_t total = 0;
    auto &entry = out["versions"][v.first];
    for (auto &s : v.second) {
      total += s.second;
      entry["by_second"][std::to_string(s.first)] =
          static_cast<Json::UInt64>(s.second);
    }
    entry["requests"] = static_cast<Json::UInt64>(total);
  }
  return out;
}

} // namespace savorylb::standin
