#ifndef SAVORYLB_BYTE_BUDGET_H
#define SAVORYLB_BYTE_BUDGET_H

#include <cstdint>
#include <memory>
#include <utility>

namespace savorylb {

/// Bounds the bytes that the messages of several connections occupy together.
struct ByteBudget {
  explicit ByteBudget(std::int64_t limit) : Limit(limit) {}

  std::int64_t Limit;
  std::int64_t Used = 0;
};

/// The bytes of one message that are charged to a budget; released on
/// destruction.
class ByteReservation {
public:
  /// Bytes of each message that are not charged, so that messages of usual size
  /// are still accepted when large ones have used up the budget.
  static constexpr std::int64_t UnchargedBytes = 65'536;

  explicit ByteReservation(std::shared_ptr<ByteBudget> budget)
      : Budget(std::move(budget)) {}
  ~ByteReservation() { Budget->Used -= charge(Bytes); }
  ByteReservation(const ByteReservation &) = delete;
  ByteReservation &operator=(const ByteReservation &) = delete;

  /// \returns whether the budget has room for this many more bytes.
  bool fits(std::uint64_t bytes) const {
    if (bytes > static_cast<std::uint64_t>(Budget->Limit + UnchargedBytes))
      return false;
    std::int64_t grown = Bytes + static_cast<std::int64_t>(bytes);
    return Budget->Used - charge(Bytes) + charge(grown) <= Budget->Limit ||
           grown <= UnchargedBytes;
  }

  /// Charges more bytes.
  /// \returns false, without a change, if the budget has no room for them.
  bool grow(std::uint64_t bytes) {
    if (!fits(bytes))
      return false;
    Budget->Used -= charge(Bytes);
    Bytes += static_cast<std::int64_t>(bytes);
    Budget->Used += charge(Bytes);
    return true;
  }

private:
  static std::int64_t charge(std::int64_t bytes) {
    return bytes > UnchargedBytes ? bytes - UnchargedBytes : 0;
  }

  std::shared_ptr<ByteBudget> Budget;
  std::int64_t Bytes = 0;
};

} // namespace savorylb

#endif // SAVORYLB_BYTE_BUDGET_H
