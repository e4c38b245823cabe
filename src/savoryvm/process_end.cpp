#include "process_end.h"

#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

#include <csignal>
#include <exception>

namespace savorylb {
namespace {

/// A stack overflow leaves no room for the handler on the normal stack.
alignas(16) char SignalStack[16'384];

void onFatalSignal(int signal) {
  logFatalSignal(signal);
  // The default action was restored when the handler was called.
  raise(signal);
}

void reportException(const std::exception &exception) {
  try {
    logEvent(EventCode::HandlerFailed,
             {{"what", std::string(exception.what())}});
    incrementCounter("handlers_failed");
  } catch (const std::exception &) {
    // No memory for the line; the planned stop that follows is logged.
  }
}

} // namespace

void reportFatalSignals() {
  stack_t stack{};
  stack.ss_sp = SignalStack;
  stack.ss_size = sizeof SignalStack;
  struct sigaction action {};
  action.sa_handler = onFatalSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND);
  if (sigaltstack(&stack, nullptr) == 0)
    action.sa_flags |= SA_ONSTACK;
  for (int it : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT})
    sigaction(it, &action, nullptr);
}

void runEventLoop(boost::asio::io_context &io,
                  const std::function<void()> &onException) {
  bool failed = false;
  while (true) {
    try {
      // Inside, as it may throw too, for instance while memory is short.
      if (failed)
        onException();
      failed = false;
      io.run();
      return;
    } catch (const std::exception &ec) {
      failed = true;
      reportException(ec);
    }
  }
}

} // namespace savorylb
