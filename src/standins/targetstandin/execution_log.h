#ifndef SAVORYLB_STANDINS_EXECUTION_LOG_H
#define SAVORYLB_STANDINS_EXECUTION_LOG_H

#include <json/json.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace savorylb::standin {

/// Counts the executions on all targets of the process by idempotency key, or
/// by the query parameter `n` of requests without such a key.
class ExecutionLog {
public:
  /// \returns the number of executions of the key on all targets, including
  /// this one.
  std::uint64_t record(const std::string &key, const std::string &target);
  void clear();
  /// \returns a list of {key, target, count}.
  Json::Value list() const;

private:
  mutable std::mutex Lock;
  /// Number of executions by key and target.
  std::map<std::string, std::map<std::string, std::uint64_t>> Executions;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_EXECUTION_LOG_H
