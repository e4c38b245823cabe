#include "slot_gate.h"

#include "http_io.h"

#include <algorithm>

namespace savorylb::standin {

namespace {

// How often a queued request looks whether its connection was closed.
constexpr std::chrono::milliseconds CloseCheck(5);

} // namespace

bool SlotGate::full() const {
  return Active.size() >= static_cast<std::size_t>(Slots);
}

void SlotGate::account() const {
  auto now = Clock::now();
  Busy += (now - AccountedAt) * static_cast<int>(Active.size());
  Offered += (now - AccountedAt) * Slots;
  AccountedAt = now;
}

void SlotGate::freeClosed() {
  account();
  if (KeepClosed)
    return;
  auto before = Active.size();
  Active.remove_if([](int fd) { return waitForClose(fd, 0); });
  if (Active.size() == before)
    return;
  History.record(static_cast<int>(Active.size()));
  Freed.notify_all();
}

SlotEntry SlotGate::enter(int fd, Clock::time_point deadline) {
  std::unique_lock<std::mutex> guard(Lock);
  // A sender may close one connection and use the slot at once for another
  // request; the close must count first.
  if (full())
    freeClosed();
  if (full())
    ++Over;
  auto place = Queue.insert(Queue.end(), fd);
  auto end = SlotEntry::Granted;
  while (full() || place != Queue.begin()) {
    if (waitForClose(fd, 0))
      end = SlotEntry::Closed;
    else if (Clock::now() >= deadline)
      end = SlotEntry::TooLate;
    if (end != SlotEntry::Granted)
      break;
    Freed.wait_until(guard, std::min(deadline, Clock::now() + CloseCheck));
    freeClosed();
  }
  Queue.erase(place);
  if (end == SlotEntry::Granted) {
    account();
    Active.push_back(fd);
    Highest = std::max<std::uint64_t>(Highest, Active.size());
    History.record(static_cast<int>(Active.size()));
  }
  Freed.notify_all();
  return end;
}

void SlotGate::leave(int fd) {
  std::lock_guard<std::mutex> guard(Lock);
  auto it = std::find(Active.begin(), Active.end(), fd);
  if (it == Active.end())
    return;
  account();
  Active.erase(it);
  History.record(static_cast<int>(Active.size()));
  Freed.notify_all();
}

void SlotGate::keepClosed(bool on) {
  std::lock_guard<std::mutex> guard(Lock);
  KeepClosed = on;
}

void SlotGate::setSlots(int n) {
  std::lock_guard<std::mutex> guard(Lock);
  account();
  Slots = n;
  Freed.notify_all();
}

int SlotGate::slots() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Slots;
}

int SlotGate::busy() const {
  std::lock_guard<std::mutex> guard(Lock);
  return static_cast<int>(Active.size());
}

int SlotGate::busyAt(Clock::time_point t) const {
  std::lock_guard<std::mutex> guard(Lock);
  return History.busyAt(t);
}

std::uint64_t SlotGate::overSlots() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Over;
}

std::uint64_t SlotGate::highest() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Highest;
}

std::chrono::microseconds SlotGate::busyTime() const {
  std::lock_guard<std::mutex> guard(Lock);
  account();
  return std::chrono::duration_cast<std::chrono::microseconds>(Busy);
}

std::chrono::microseconds SlotGate::slotTime() const {
  std::lock_guard<std::mutex> guard(Lock);
  account();
  return std::chrono::duration_cast<std::chrono::microseconds>(Offered);
}

void SlotGate::resetCounts() {
  std::lock_guard<std::mutex> guard(Lock);
  Over = Highest = 0;
  account();
  Busy = Offered = {};
}

} // namespace savorylb::standin
