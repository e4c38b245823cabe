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
  while (true) {
    try {
      io.run();
      return;
    } catch (const std::exception &ec) {
      logEvent(EventCode::HandlerFailed, {{"what", std::string(ec.what())}});
    }
    incrementCounter("handlers_failed");
    onException();
  }
}

} // namespace savorylb
