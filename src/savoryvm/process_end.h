#ifndef SAVORYLB_PROCESS_END_H
#define SAVORYLB_PROCESS_END_H

#include <boost/asio.hpp>
#include <functional>

namespace savorylb {

/// Makes fatal signals write the buffered lines of the event log and a
/// process_crashed line before they end the process.
void reportFatalSignals();

/// Runs an event loop until it is stopped or has no work left. An exception
/// that leaves a handler is logged and does not end the loop.
/// \param onException called after each such exception; the handler that threw
///        did not complete, so that its work should not be relied on.
void runEventLoop(boost::asio::io_context &io,
                  const std::function<void()> &onException);

} // namespace savorylb

#endif // SAVORYLB_PROCESS_END_H
