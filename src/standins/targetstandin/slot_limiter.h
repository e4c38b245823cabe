#ifndef SAVORYLB_STANDINS_SLOT_LIMITER_H
#define SAVORYLB_STANDINS_SLOT_LIMITER_H

#include "load_history.h"
#include "slot_wait_result.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <mutex>

namespace savorylb::standin {

/// Limits the concurrent requests of a target to its slots and queues the
/// others in order of arrival. A request whose connection has been closed frees
/// its slot immediately, unless `keepSlotsOfClosed` is set.
class SlotLimiter {
public:
  using Clock = std::chrono::steady_clock;

  explicit SlotLimiter(int slots) : Slots(slots) {}

  /// Waits for a slot until the deadline.
  /// \param fd connection of the request; identifies the request until
  /// `release`.
  SlotWaitResult acquire(int fd, Clock::time_point deadline);
  /// Frees the slot of the request, unless it was freed when the connection
  /// closed.
  void release(int fd);

  /// Sets whether requests keep their slot after their connection was closed.
  void keepSlotsOfClosed(bool on);
  void setSlots(int n);
  int slots() const;
  /// \returns the number of requests that occupy a slot.
  int busy() const;
  int busyAt(Clock::time_point t) const;
  /// \returns the number of requests that arrived while all slots were busy.
  std::uint64_t overSlots() const;
  /// \returns the maximum number of busy slots.
  std::uint64_t highestConcurrency() const;
  /// \returns the time that slots were busy, summed over all slots.
  std::chrono::microseconds busyTime() const;
  /// \returns the time that slots were available, busy or not, summed over all
  /// slots.
  std::chrono::microseconds slotTime() const;
  void resetCounts();

private:
  /// Frees the slots of requests whose connection has been closed.
  void releaseClosed();
  /// Adds the time since the last update to the slot times. Must be called
  /// before the number of slots or of busy slots changes.
  void updateSlotTimes() const;
  bool allBusy() const;

  mutable std::mutex Lock;
  std::condition_variable Changed;
  bool KeepSlotsOfClosed = false;
  int Slots;
  std::list<int> BusyFds;
  std::list<int> QueuedFds;
  LoadHistory History;
  std::uint64_t OverSlots = 0;
  std::uint64_t HighestConcurrency = 0;
  mutable Clock::time_point TimesUpdatedAt = Clock::now();
  mutable Clock::duration BusyTime{};
  mutable Clock::duration SlotTime{};
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_SLOT_LIMITER_H
