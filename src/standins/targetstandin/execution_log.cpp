#include "execution_log.h"

namespace savorylb::standin {

std::uint64_t ExecutionLog::record(const std::string &key,
                                   const std::string &target) {
  std::lock_guard<std::mutex> guard(Lock);
  auto &byTarget = Executions[key];
  ++byTarget[target];
  std::uint64_t n = 0;
  for (auto &it : byTarget)
    n += it.second;
  return n;
}

void ExecutionLog::clear() {
  std::lock_guard<std::mutex> guard(Lock);
  Executions.clear();
}

Json::Value ExecutionLog::list() const {
  std::lock_guard<std::mutex> guard(Lock);
  Json::Value out(Json::arrayValue);
  for (auto &key : Executions)
    for (auto &it : key.second) {
      Json::Value row;
      row["key"] = key.first;
      row["target"] = it.first;
      row["count"] = static_cast<Json::UInt64>(it.second);
      out.append(row);
    }
  return out;
}

} // namespace savorylb::standin
