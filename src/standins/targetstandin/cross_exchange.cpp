#include "cross_exchange.h"

#include <chrono>
#include <utility>

namespace savorylb::standin {

namespace {

// Longer than most service times and shorter than most deadlines.
constexpr std::chrono::milliseconds PartnerWait(200);

} // namespace

bool CrossExchange::swap(TargetAnswer &it, bool starts) {
  std::unique_lock<std::mutex> guard(Lock);
  if (Waiting) {
    std::swap(*Waiting, it);
    Waiting = nullptr;
    Swapped.notify_all();
    return true;
  }
  if (!starts)
    return false;
  Waiting = &it;
  if (Swapped.wait_for(guard, PartnerWait, [&] { return Waiting != &it; }))
    return true;
  Waiting = nullptr;
  return false;
}

} // namespace savorylb::standin
