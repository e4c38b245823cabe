#include "slot_limiter.h"

#include "http_io.h"

#include <algorithm>

namespace savorylb::standin {

namespace {

// Interval at which a queued request checks whether its connection was closed.
constexpr std::chrono::milliseconds ClosePollInterval(5);

} // namespace

bool SlotLimiter::allBusy() const {
  return BusyFds.size() >= static_cast<std::size_t>(Slots);
}

void SlotLimiter::updateSlotTimes() const {
  auto now = Clock::now();
  BusyTime += (now - TimesUpdatedAt) * static_cast<int>(BusyFds.size());
  SlotTime += (now - TimesUpdatedAt) * Slots;
  TimesUpdatedAt = now;
}

void SlotLimiter::releaseClosed() {
  updateSlotTimes();
  if (KeepSlotsOfClosed)
    return;
  auto before = BusyFds.size();
  BusyFds.remove_if([](int fd) { return waitForClose(fd, 0); });
  if (BusyFds.size() == before)
    return;
  History.record(static_cast<int>(BusyFds.size()));
  Changed.notify_all();
}

SlotWaitResult SlotLimiter::acquire(int fd, Clock::time_point deadline) {
  std::unique_lock<std::mutex> guard(Lock);
  // A sender may close a connection and immediately use the freed slot for
  // another request, which must not count as exceeding the slots.
  if (allBusy())
    releaseClosed();
  if (allBusy())
    ++OverSlots;
  auto pos = QueuedFds.insert(QueuedFds.end(), fd);
  auto result = SlotWaitResult::Granted;
  while (allBusy() || pos != QueuedFds.begin()) {
    if (waitForClose(fd, 0))
      result = SlotWaitResult::Closed;
    else if (Clock::now() >= deadline)
      result = SlotWaitResult::DeadlineExceeded;
    if (result != SlotWaitResult::Granted)
      break;
    Changed.wait_until(guard,
                       std::min(deadline, Clock::now() + ClosePollInterval));
    releaseClosed();
  }
  QueuedFds.erase(pos);
  if (result == SlotWaitResult::Granted) {
    updateSlotTimes();
    BusyFds.push_back(fd);
    HighestConcurrency =
        std::max<std::uint64_t>(HighestConcurrency, BusyFds.size());
    History.record(static_cast<int>(BusyFds.size()));
  }
  Changed.notify_all();
  return result;
}

void SlotLimiter::release(int fd) {
  std::lock_guard<std::mutex> guard(Lock);
  auto it = std::find(BusyFds.begin(), BusyFds.end(), fd);
  if (it == BusyFds.end())
    return;
  updateSlotTimes();
  BusyFds.erase(it);
  History.record(static_cast<int>(BusyFds.size()));
  Changed.notify_all();
}

void SlotLimiter::keepSlotsOfClosed(bool on) {
  std::lock_guard<std::mutex> guard(Lock);
  KeepSlotsOfClosed = on;
}

void SlotLimiter::setSlots(int n) {
  std::lock_guard<std::mutex> guard(Lock);
  updateSlotTimes();
  Slots = n;
  Changed.notify_all();
}

int SlotLimiter::slots() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Slots;
}

int SlotLimiter::busy() const {
  std::lock_guard<std::mutex> guard(Lock);
  return static_cast<int>(BusyFds.size());
}

int SlotLimiter::busyAt(Clock::time_point t) const {
  std::lock_guard<std::mutex> guard(Lock);
  return History.busyAt(t);
}

std::uint64_t SlotLimiter::overSlots() const {
  std::lock_guard<std::mutex> guard(Lock);
  return OverSlots;
}

std::uint64_t SlotLimiter::highestConcurrency() const {
  std::lock_guard<std::mutex> guard(Lock);
  return HighestConcurrency;
}

std::chrono::microseconds SlotLimiter::busyTime() const {
  std::lock_guard<std::mutex> guard(Lock);
  updateSlotTimes();
  return std::chrono::duration_cast<std::chrono::microseconds>(BusyTime);
}

std::chrono::microseconds SlotLimiter::slotTime() const {
  std::lock_guard<std::mutex> guard(Lock);
  updateSlotTimes();
  return std::chrono::duration_cast<std::chrono::microseconds>(SlotTime);
}

void SlotLimiter::resetCounts() {
  std::lock_guard<std::mutex> guard(Lock);
  OverSlots = HighestConcurrency = 0;
  updateSlotTimes();
  BusyTime = SlotTime = {};
}

} // namespace savorylb::standin
