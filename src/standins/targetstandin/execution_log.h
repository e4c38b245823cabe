#ifndef SAVORYLB_STANDINS_EXECUTION_LOG_H
#define SAVORYLB_STANDINS_EXECUTION_LOG_H

#include <json/json.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace savorylb::standin {

/// Executions by idempotency key, or by the number `n` in the query of requests
/// without one, across all targets of the process.
class ExecutionLog {
public:
  /// Notes an execution.
  /// \returns how often the key has run now, on any target.
  std::uint64_t note(const std::string &key, const std::string &target);
  void clear();
  /// \returns a list of {key, target, count}.
  Json::Value list() const;

private:
  mutable std::mutex Lock;
  std::map<std::string, std::map<std::string, std::uint64_t>> Runs;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_EXECUTION_LOG_H
