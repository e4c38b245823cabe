#include "response_swapper.h"

#include <chrono>
#include <utility>

namespace savorylb::standin {

namespace {

// Longer than most service times and shorter than most deadlines.
constexpr std::chrono::milliseconds PartnerTimeout(200);

} // namespace

bool ResponseSwapper::swap(OutgoingResponse &resp, bool waits) {
  std::unique_lock<std::mutex> guard(Lock);
  if (Waiting) {
    std::swap(*Waiting, resp);
    Waiting = nullptr;
    Swapped.notify_all();
    return true;
  }
  if (!waits)
    return false;
  Waiting = &resp;
  if (Swapped.wait_for(guard, PartnerTimeout, [&] { return Waiting != &resp; }))
    return true;
  Waiting = nullptr;
  return false;
}

} // namespace savorylb::standin
