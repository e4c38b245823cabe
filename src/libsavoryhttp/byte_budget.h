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
///
/// The less is free, the smaller a message may be, so that large messages of
/// faulty peers fail before they leave no room for others.
class ByteReservation {
public:
  /// Size up to which a message may use the whole budget.
  static constexpr std::int64_t SmallBytes = 65'536;
  /// Part of the budget that only small messages may use.
  static constexpr std::int64_t ReservedFraction = 20;
  /// Largest ratio of a large message's bytes to those that stay free.
  static constexpr std::int64_t MaxRatioToFree = 16;

  explicit ByteReservation(std::shared_ptr<ByteBudget> budget)
      : Budget(std::move(budget)) {}
  ~ByteReservation() { Budget->Used -= Bytes; }
  ByteReservation(const ByteReservation &) = delete;
  ByteReservation &operator=(const ByteReservation &) = delete;

  /// \returns whether the budget has room for this many more bytes.
  bool fits(std::uint64_t bytes) const {
    if (bytes > static_cast<std::uint64_t>(Budget->Limit - Budget->Used))
      return false;
    std::int64_t grown = Bytes + static_cast<std::int64_t>(bytes);
    std::int64_t left =
        Budget->Limit - Budget->Used - static_cast<std::int64_t>(bytes);
    if (grown <= SmallBytes)
      return grown <= left;
    return grown <= (left - Budget->Limit / ReservedFraction) * MaxRatioToFree;
  }

  /// Charges more bytes.
  /// \returns false, without a change, if the budget has no room for them.
  bool grow(std::uint64_t bytes) {
    if (!fits(bytes))
      return false;
    Bytes += static_cast<std::int64_t>(bytes);
    Budget->Used += static_cast<std::int64_t>(bytes);
    return true;
  }

private:
  std::shared_ptr<ByteBudget> Budget;
  std::int64_t Bytes = 0;
};

} // namespace savorylb

#endif // SAVORYLB_BYTE_BUDGET_H
