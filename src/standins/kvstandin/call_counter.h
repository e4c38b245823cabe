#ifndef SAVORYLB_STANDINS_CALL_COUNTER_H
#define SAVORYLB_STANDINS_CALL_COUNTER_H

#include "call_kind.h"

#include <json/json.h>

#include <cstdint>
#include <mutex>

namespace savorylb::standin {

/// Counts store calls and enforces the store's limits for each second.
class CallCounter {
public:
  /// \param writeLimit maximum number of writes in a second.
  /// \param readLimit maximum number of reads in a second. A watch counts as
  /// one read when it starts, and as one in each later second that begins while
  /// it waits.
  CallCounter(std::uint64_t writeLimit, std::uint64_t readLimit)
      : WriteLimit(writeLimit), ReadLimit(readLimit) {}

  /// Counts a call. \returns false when the call exceeds the limit.
  bool admit(CallKind kind);
  void watchStarted();
  void watchEnded();
  void countVmListRead();
  /// Counts a call whose connection was closed because of a fault.
  void countDropped();
  /// Clears all counts except the number of waiting watches.
  void reset();

  /// \returns the counts since the last reset, the maximum number of reads and
  /// of writes in one second, and of watches that waited at the same time.
  Json::Value report();

private:
  /// Clears the counts of the second when a new one has begun.
  void advanceSecond();

  const std::uint64_t WriteLimit;
  const std::uint64_t ReadLimit;
  std::mutex Lock;
  std::int64_t CurrentSecond = 0;
  std::int64_t FirstSecond = 0;
  /// Calls in the current second.
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  /// Watches that were waiting at the start of the current second; each counts
  /// as a read.
  std::uint64_t CarriedWatches = 0;
  std::uint64_t WaitingWatches = 0;
  std::uint64_t TotalReads = 0, TotalWrites = 0, TotalWatches = 0;
  std::uint64_t Rejected = 0, Dropped = 0, VmListReads = 0;
  std::uint64_t MaxReads = 0, MaxWrites = 0, MaxWatches = 0;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_CALL_COUNTER_H
