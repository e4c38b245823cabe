#ifndef SAVORYLB_STANDINS_CROSS_EXCHANGE_H
#define SAVORYLB_STANDINS_CROSS_EXCHANGE_H

#include "target_answer.h"

#include <condition_variable>
#include <mutex>

namespace savorylb::standin {

/// Swaps the answers of two requests that are at the same target at once.
class CrossExchange {
public:
  /// Offers an answer.
  /// \param starts true to wait for a partner when there is none yet; false
  /// only joins one that waits.
  /// \returns whether the answer was swapped.
  bool swap(TargetAnswer &it, bool starts);

private:
  std::mutex Lock;
  std::condition_variable Swapped;
  /// The answer that waits for a partner, or null.
  TargetAnswer *Waiting = nullptr;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_CROSS_EXCHANGE_H
