#include "call_counter.h"

#include <algorithm>
#include <chrono>

namespace savorylb::standin {

void CallCounter::rollSecond() {
  using namespace std::chrono;
  auto now =
      duration_cast<seconds>(steady_clock::now().time_since_epoch()).count();
  if (FirstSecond == 0)
    FirstSecond = now;
  if (now == Second)
    return;
  Second = now;
  Reads = Writes = 0;
  Carried = Watches;
}

bool CallCounter::admit(CallKind kind) {
  std::lock_guard<std::mutex> guard(Lock);
  rollSecond();
  bool isWrite = kind == CallKind::Write;
  bool fits = isWrite ? Writes < WriteLimit : Reads + Carried < ReadLimit;
  if (!fits) {
    ++Rejected;
    return false;
  }
  if (isWrite) {
    ++TotalWrites;
    MaxWrites = std::max(MaxWrites, ++Writes);
  } else {
    ++TotalReads;
    ++Reads;
    MaxReads = std::max(MaxReads, Reads + Carried);
  }
  return true;
}

void CallCounter::watchStarted() {
  std::lock_guard<std::mutex> guard(Lock);
  rollSecond();
  ++TotalWatches;
  MaxWatches = std::max(MaxWatches, ++Watches);
}

void CallCounter::watchEnded() {
  std::lock_guard<std::mutex> guard(Lock);
  rollSecond();
  --Watches;
}

void CallCounter::vmListRead() {
  std::lock_guard<std::mutex> guard(Lock);
  ++VmListReads;
}

void CallCounter::dropped() {
  std::lock_guard<std::mutex> guard(Lock);
  ++Dropped;
}

void CallCounter::reset() {
  std::lock_guard<std::mutex> guard(Lock);
  Second = FirstSecond = 0;
  rollSecond();
  TotalReads = TotalWrites = TotalWatches = Rejected = Dropped = VmListReads =
      0;
  MaxReads = MaxWrites = MaxWatches = 0;
}

Json::Value CallCounter::report() {
  std::lock_guard<std::mutex> guard(Lock);
  rollSecond();
  auto number = [](std::uint64_t n) {
    return Json::Value(static_cast<Json::UInt64>(n));
  };
  Json::Value out;
  out["reads"] = number(TotalReads);
  out["writes"] = number(TotalWrites);
  out["watches"] = number(TotalWatches);
  out["watches_waiting"] = number(Watches);
  out["rejected"] = number(Rejected);
  out["vm_list_reads"] = number(VmListReads);
  out["dropped"] = number(Dropped);
  out["max_reads_per_second"] = number(std::max(MaxReads, Reads + Carried));
  out["max_writes_per_second"] = number(MaxWrites);
  out["max_watches"] = number(std::max(MaxWatches, Watches));
  out["seconds"] = static_cast<Json::Int64>(Second - FirstSecond + 1);
  return out;
}

} // namespace savorylb::standin
