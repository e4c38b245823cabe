#include "call_counter.h"

#include <algorithm>
#include <chrono>

namespace savorylb::standin {

void CallCounter::advanceSecond() {
  using namespace std::chrono;
  auto now =
      duration_cast<seconds>(steady_clock::now().time_since_epoch()).count();
  if (FirstSecond == 0)
    FirstSecond = now;
  if (now == CurrentSecond)
    return;
  CurrentSecond = now;
  Reads = Writes = 0;
  CarriedWatches = WaitingWatches;
}

bool CallCounter::admit(CallKind kind) {
  std::lock_guard<std::mutex> guard(Lock);
  advanceSecond();
  bool isWrite = kind == CallKind::Write;
  bool withinLimit =
      isWrite ? Writes < WriteLimit : Reads + CarriedWatches < ReadLimit;
  if (!withinLimit) {
    ++Rejected;
    return false;
  }
  if (isWrite) {
    ++TotalWrites;
    MaxWrites = std::max(MaxWrites, ++Writes);
  } else {
    ++TotalReads;
    ++Reads;
    MaxReads = std::max(MaxReads, Reads + CarriedWatches);
  }
  return true;
}

void CallCounter::watchStarted() {
  std::lock_guard<std::mutex> guard(Lock);
  advanceSecond();
  ++TotalWatches;
  MaxWatches = std::max(MaxWatches, ++WaitingWatches);
}

void CallCounter::watchEnded() {
  std::lock_guard<std::mutex> guard(Lock);
  advanceSecond();
  --WaitingWatches;
}

void CallCounter::countVmListRead() {
  std::lock_guard<std::mutex> guard(Lock);
  ++VmListReads;
}

void CallCounter::countDropped() {
  std::lock_guard<std::mutex> guard(Lock);
  ++Dropped;
}

void CallCounter::reset() {
  std::lock_guard<std::mutex> guard(Lock);
  CurrentSecond = FirstSecond = 0;
  advanceSecond();
  TotalReads = TotalWrites = TotalWatches = Rejected = Dropped = VmListReads =
      0;
  MaxReads = MaxWrites = MaxWatches = 0;
}

Json::Value CallCounter::report() {
  std::lock_guard<std::mutex> guard(Lock);
  advanceSecond();
  auto number = [](std::uint64_t n) {
    return Json::Value(static_cast<Json::UInt64>(n));
  };
  Json::Value out;
  out["reads"] = number(TotalReads);
  out["writes"] = number(TotalWrites);
  out["watches"] = number(TotalWatches);
  out["watches_waiting"] = number(WaitingWatches);
  out["rejected"] = number(Rejected);
  out["vm_list_reads"] = number(VmListReads);
  out["dropped"] = number(Dropped);
  out["max_reads_per_second"] =
      number(std::max(MaxReads, Reads + CarriedWatches));
  out["max_writes_per_second"] = number(MaxWrites);
  out["max_watches"] = number(std::max(MaxWatches, WaitingWatches));
  out["seconds"] = static_cast<Json::Int64>(CurrentSecond - FirstSecond + 1);
  return out;
}

} // namespace savorylb::standin
