#include "byte_budget.h"

#include <vector>

// Redefines operator new; must be included after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr std::int64_t Limit = 40 << 20;
constexpr std::int64_t Small = 65'536;

std::vector<std::unique_ptr<ByteReservation>>
makeMessages(const std::shared_ptr<ByteBudget> &budget, int n) {
  std::vector<std::unique_ptr<ByteReservation>> messages;
  messages.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i)
    messages.push_back(std::make_unique<ByteReservation>(budget));
  return messages;
}

} // namespace

TEST_GROUP(ByteBudget){};

// Guards against a budget that is never released or can be exceeded.
TEST(ByteBudget, ChargesMessagesUntilTheyEnd) {
  auto budget = std::make_shared<ByteBudget>(Limit);
  {
    ByteReservation first(budget);
    ByteReservation second(budget);
    CHECK_TRUE(first.grow(Small));
    LONGS_EQUAL(Small, budget->Used);
    CHECK_TRUE(first.grow(30 << 20));
    CHECK_FALSE(second.grow(8 << 20));
    LONGS_EQUAL(Small + (30 << 20), budget->Used);
    CHECK_FALSE(second.fits(UINT64_MAX));
    CHECK_FALSE(second.fits(INT64_MAX));
  }
  LONGS_EQUAL(0, budget->Used);
}

// Guards against a large message that does not fit although no other is there.
TEST(ByteBudget, OneMessageCannotUseMostOfTheBudget) {
  auto budget = std::make_shared<ByteBudget>(Limit);
  ByteReservation only(budget);
  CHECK_TRUE(only.grow(32 << 20));
}

// Guards against small messages that together use more than the budget.
TEST(ByteBudget, ManySmallMessagesExceedTheBudget) {
  auto budget = std::make_shared<ByteBudget>(Limit);
  auto messages = makeMessages(budget, 2 * Limit / Small);
  int fitting = 0;
  for (const auto &it : messages)
    fitting += it->grow(Small);
  CHECK_TRUE(budget->Used <= Limit);
  CHECK_TRUE(fitting * Small <= Limit);
  CHECK_TRUE(fitting > Limit / Small / 2);
}

// Guards against endless messages that leave no room for others until they
// fail. Each that fails is followed by another one.
TEST(ByteBudget, EndlessMessagesLeaveNoRoomForOthers) {
  constexpr std::int64_t Step = 16'384;
  struct Case {
    int Endless;
    int Others;
    std::int64_t OtherBytes;
  };
  for (Case it :
       {Case{1, 1, 1'000'000}, Case{4, 1, 300'000}, Case{300, 20, Small}}) {
    auto budget = std::make_shared<ByteBudget>(Limit);
    auto endless = makeMessages(budget, it.Endless);
    for (int round = 0; round < 3 * Limit / Step / it.Endless; ++round) {
      for (auto &message : endless)
        if (!message->grow(Step))
          message = std::make_unique<ByteReservation>(budget);
      auto others = makeMessages(budget, it.Others);
      for (const auto &other : others)
        CHECK_TRUE(other->grow(it.OtherBytes));
    }
  }
}
