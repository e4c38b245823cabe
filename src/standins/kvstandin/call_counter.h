#ifndef SAVORYLB_STANDINS_CALL_COUNTER_H
#define SAVORYLB_STANDINS_CALL_COUNTER_H

#include "call_kind.h"

#include <json/json.h>

#include <cstdint>
#include <mutex>

namespace savorylb::standin {

/// Counts store calls by second and enforces the store's limits.
class CallCounter {
public:
  /// \param writeLimit most writes in a second.
  /// \param readLimit most reads in a second; a waiting watch counts as one
  /// read in each second in which it waits.
  CallCounter(std::uint64_t writeLimit, std::uint64_t readLimit)
      : WriteLimit(writeLimit), ReadLimit(readLimit) {}

  /// Counts a call. \returns false when it exceeds the limit.
  bool admit(CallKind kind);
  /// Counts a watch that starts or ends its wait.
  void watchStarted();
  void watchEnded();
  /// Counts a read of the VM list.
  void vmListRead();
  /// Counts calls that a fault cut off.
  void dropped();
  /// Clears all counts but that of the waiting watches.
  void reset();

  Json::Value report();

private:
  void rollSecond();

  const std::uint64_t WriteLimit;
  const std::uint64_t ReadLimit;
  std::mutex Lock;
  std::int64_t Second = 0;
  std::int64_t FirstSecond = 0;
  /// Counts of the current second.
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  /// Watches that were waiting when the current second began.
  std::uint64_t Carried = 0;
  std::uint64_t Watches = 0;
  std::uint64_t TotalReads = 0, TotalWrites = 0, TotalWatches = 0;
  std::uint64_t Rejected = 0, Dropped = 0, VmListReads = 0;
  std::uint64_t MaxReads = 0, MaxWrites = 0, MaxWatches = 0;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_CALL_COUNTER_H
