#ifndef SAVORYLB_STANDINS_TARGET_FAULTS_H
#define SAVORYLB_STANDINS_TARGET_FAULTS_H

#include <chrono>
#include <cstdint>
#include <string>

namespace savorylb::standin {

/// Faults injected into a target. Values in ppm are parts per million of the
/// requests.
struct TargetFaults {
  using Clock = std::chrono::steady_clock;

  /// End of the cold phase, in which service times fall linearly to normal.
  Clock::time_point ColdUntil{};
  /// Length of the cold phase.
  std::int64_t ColdMs = 0;
  /// All requests are refused as not run.
  bool Shed = false;
  /// The target reports that it is draining.
  bool Drain = false;
  Clock::time_point DrainSince{};
  std::int64_t FailPpm = 0;
  /// Status of failed responses; with 200 only the body and a header show the
  /// failure.
  int FailStatus = 500;
  /// Only paths with this prefix fail; "" means all paths.
  std::string FailRoute;
  /// Added to the service time of paths that start with SlowRoute.
  std::int64_t SlowMs = 0;
  std::string SlowRoute;
  /// Time between the end of the execution and the response.
  std::int64_t ResponseDelayMs = 0;
  /// Requests whose response breaks off after half of the body.
  std::int64_t TruncatePpm = 0;
  /// Requests that wait to swap their response with a concurrent request.
  std::int64_t SwapPpm = 0;
  /// Requests whose connection is closed after the execution, without a
  /// response.
  std::int64_t ClosePpm = 0;
  /// Health status reported instead of the true one, or "".
  std::string HealthOverride;
  /// Load reported instead of the true one, or "": "idle" reports no busy slots
  /// and twice the number of slots, "busy" reports all slots as busy.
  std::string LoadOverride;
  /// Age of the reported load.
  std::int64_t LoadLagMs = 0;
  /// Time for which an execution continues after its connection was closed; -1
  /// means until its normal end.
  std::int64_t CancelLagMs = 0;
  /// Bytes of padding in each response.
  std::int64_t PaddingBytes = 0;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_TARGET_FAULTS_H
