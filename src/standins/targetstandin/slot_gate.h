#ifndef SAVORYLB_STANDINS_SLOT_GATE_H
#define SAVORYLB_STANDINS_SLOT_GATE_H

#include "load_history.h"
#include "slot_entry.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <mutex>

namespace savorylb::standin {

/// The slots of a target and the queue before them. Requests whose connection
/// has been closed free their slot at once.
class SlotGate {
public:
  using Clock = std::chrono::steady_clock;

  explicit SlotGate(int slots) : Slots(slots) {}

  /// Waits for a slot.
  /// \param fd connection of the request; identifies it until `leave`.
  SlotEntry enter(int fd, Clock::time_point deadline);
  /// Frees the slot. A slot that was freed when the connection closed is left
  /// alone.
  void leave(int fd);

  /// Sets whether requests keep their slot when their connection closes.
  void keepClosed(bool on);
  void setSlots(int n);
  int slots() const;
  int busy() const;
  int busyAt(Clock::time_point t) const;
  std::uint64_t overSlots() const;
  std::uint64_t highest() const;
  /// \returns time that slots were busy, summed over the slots.
  std::chrono::microseconds busyTime() const;
  /// \returns time that there were slots, summed over the slots.
  std::chrono::microseconds slotTime() const;
  void resetCounts();

private:
  void freeClosed();
  /// Adds the time since the last change; called before each change.
  void account() const;
  bool full() const;

  mutable std::mutex Lock;
  std::condition_variable Freed;
  bool KeepClosed = false;
  int Slots;
  std::list<int> Active;
  std::list<int> Queue;
  LoadHistory History;
  std::uint64_t Over = 0;
  std::uint64_t Highest = 0;
  mutable Clock::time_point AccountedAt = Clock::now();
  mutable Clock::duration Busy{};
  mutable Clock::duration Offered{};
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_SLOT_GATE_H
