#ifndef SAVORYLB_STANDINS_TARGET_FAULTS_H
#define SAVORYLB_STANDINS_TARGET_FAULTS_H

#include <chrono>
#include <cstdint>
#include <string>

namespace savorylb::standin {

/// The faults of one target.
struct TargetFaults {
  using Clock = std::chrono::steady_clock;

  /// Cold until then; service times shrink linearly to normal.
  Clock::time_point ColdUntil{};
  std::int64_t ColdMs = 0;
  bool Shed = false;
  bool Drain = false;
  Clock::time_point DrainSince{};
  std::int64_t FailPpm = 0;
  /// Status of failed answers; 200 makes a failure that only body and header
  /// tell.
  int FailStatus = 500;
  /// Only paths with this prefix fail; "" is all.
  std::string FailRoute;
  std::int64_t SlowMs = 0;
  std::string SlowRoute;
  /// Time between the end of the work and the answer.
  std::int64_t LateMs = 0;
  std::int64_t TruncatePpm = 0;
  std::int64_t CrossPpm = 0;
  /// Part of the requests whose connection is closed after the work, instead of
  /// an answer.
  std::int64_t ClosePpm = 0;
  /// Health status reported instead of the true one, or "".
  std::string HealthLie;
  /// "idle" reports no busy slots and twice the slots, "busy" all slots busy.
  std::string LoadLie;
  std::int64_t LoadLagMs = 0;
  /// Work goes on for this long after its connection was closed; -1 ends it
  /// only when it is done.
  std::int64_t CancelLagMs = 0;
  /// Filler bytes in each answer.
  std::int64_t BigBytes = 0;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_TARGET_FAULTS_H
