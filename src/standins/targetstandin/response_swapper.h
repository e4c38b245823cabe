#ifndef SAVORYLB_STANDINS_RESPONSE_SWAPPER_H
#define SAVORYLB_STANDINS_RESPONSE_SWAPPER_H

#include "outgoing_response.h"

#include <condition_variable>
#include <mutex>

namespace savorylb::standin {

/// Swaps the responses of two concurrent requests to the same target.
class ResponseSwapper {
public:
  /// Swaps the response with one that waits.
  /// \param waits whether to wait for a partner when no response waits.
  /// \returns whether the response was swapped.
  bool swap(OutgoingResponse &resp, bool waits);

private:
  std::mutex Lock;
  std::condition_variable Swapped;
  /// The response that waits for a partner, or null.
  OutgoingResponse *Waiting = nullptr;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_RESPONSE_SWAPPER_H
