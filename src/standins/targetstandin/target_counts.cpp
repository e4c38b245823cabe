#include "target_counts.h"

#include <algorithm>

namespace savorylb::standin {

namespace {

// Listed even when they are zero, so that a test can compare them.
const char *const AlwaysListed[] = {
    "requests",  "executed",    "over_slots", "highest_concurrency",
    "keys_seen", "shed",        "failed",     "second_executions",
    "cancelled", "deadline",    "truncated",  "crossed",
    "silent",    "after_drain", "closed",     "once_on_silent"};

} // namespace

void addCounts(TargetCounts &sum, const TargetCounts &it) {
  for (auto &n : it.Numbers) {
    auto &place = sum.Numbers[n.first];
    place = n.first == "highest_concurrency" ? std::max(place, n.second)
                                             : place + n.second;
  }
  for (auto &v : it.Versions)
    for (auto &s : v.second)
      sum.Versions[v.first][s.first] += s.second;
}

Json::Value countsJson(const TargetCounts &it) {
  Json::Value out;
  for (auto *name : AlwaysListed)
    out[name] = 0;
  for (auto &n : it.Numbers)
    out[n.first] = static_cast<Json::UInt64>(n.second);
  out["versions"] = Json::Value(Json::objectValue);
  for (auto &v : it.Versions) {
    std::uint64_t all = 0;
    auto &place = out["versions"][v.first];
    for (auto &s : v.second) {
      all += s.second;
      place["by_second"][std::to_string(s.first)] =
          static_cast<Json::UInt64>(s.second);
    }
    place["requests"] = static_cast<Json::UInt64>(all);
  }
  return out;
}

} // namespace savorylb::standin
