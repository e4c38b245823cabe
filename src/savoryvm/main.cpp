#include "process_end.h"
#include "savorylb/event_log.h"
#include "settings_path.h"
#include "vm_daemon.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <malloc.h>

namespace {

constexpr int BadSettings = 2;
constexpr int CannotListen = 3;
/// Log lines per second above which request_done lines are dropped; several
/// times the usual load of a VM.
constexpr int MaxLinesPerSecond = 200;
/// Blocks from this size on are mapped on their own, and their memory returns
/// to the system when they are freed. Setting it keeps glibc from raising it up
/// to 32 MB, beyond which freed bodies would remain in the heap.
constexpr int MappedBlockBytes = 256 << 10;

/// Blocks or unblocks the signals that the daemon handles.
void maskSignals(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (int it : {SIGTERM, SIGHUP, SIGINT})
    sigaddset(&signals, it);
  sigprocmask(how, &signals, nullptr);
}

} // namespace

int main(int argc, char **argv) {
  // Signals that arrive before the daemon handles them stay pending.
  maskSignals(SIG_BLOCK);
  CLI::App app("savorylb's daemon for VMs of a hosting platform");
  std::string file = savorylb::platform::settingsPath();
  bool check = false;
  app.add_option("--settings", file, "settings file, JSON with comments");
  app.add_flag("--check-config", check, "check the settings and exit");
  CLI11_PARSE(app, argc, argv);
  savorylb::Findings findings;
  savorylb::VmSettings settings = savorylb::readVmSettings(
      file, savorylb::readSettingsFile(file), findings);
  if (!findings.empty()) {
    std::cerr << savorylb::formatFindings(findings);
    return BadSettings;
  }
  if (check)
    return 0;
  std::signal(SIGPIPE, SIG_IGN);
  // Sent when standard output is a file that has reached its size limit.
  std::signal(SIGXFSZ, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
  boost::asio::io_context io(1);
  savorylb::openEventStream(settings.Vm.Value, MaxLinesPerSecond);
  savorylb::reportFatalSignals();
  savorylb::VmDaemon daemon(io, settings, file);
  if (!daemon.start()) {
    std::cerr << "cannot listen on the addresses of " << file << "\n";
    return CannotListen;
  }
  maskSignals(SIG_UNBLOCK);
  savorylb::runEventLoop(io, [&daemon] { daemon.beginShutdown(); });
  return 0;
}
