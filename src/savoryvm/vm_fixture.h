#ifndef SAVORYLB_VM_FIXTURE_H
#define SAVORYLB_VM_FIXTURE_H

#include "simulated_platform.h"
#include "vm_daemon.h"

#include "savorylb/clock.h"

#include <functional>

// Redefines operator new; must be included after the standard headers.
#include <CppUTest/TestHarness.h>

namespace savorylb::standin {

/// Each test uses its own network; closed addresses cannot be bound again at
/// once.
inline int NextNetwork = 10;

/// Runs daemons of VMs against a simulated platform.
struct VmFixture {
  asio::io_context Io;
  SimulatedPlatform Platform{Io};
  std::vector<std::unique_ptr<VmDaemon>> Vms;
  int Attempts = 0;

  VmFixture() { CHECK_TRUE(Platform.start(NextNetwork++)); }

  /// Runs the I/O context until a condition holds or the time is over.
  /// \returns whether the condition holds.
  bool waitUntil(const std::function<bool()> &condition,
                 Duration timeout = Seconds(5)) {
    MonoTime end = monoNow() + timeout;
    while (!condition() && monoNow() < end) {
      Io.run_for(std::chrono::milliseconds(5));
      Io.restart();
    }
    return condition();
  }

  void runFor(Duration time) {
    waitUntil([] { return false; }, time);
  }

  /// Adds one target that serves, and two that drain, so that the loss of one
  /// entry is not taken for a mass removal.
  PlatformTarget &addOnlyTarget() {
    PlatformTarget &target = Platform.addTarget("tiles", "tema-a");
    for (int i = 0; i < 2; ++i)
      Platform.addTarget("tiles", "tema-a").registerEntry("draining");
    return target;
  }

  /// \returns whether a VM serves a request.
  bool isServed(int n) { return call(n, CallerRequest()).Status == 200; }

  void addVm(int n, const std::string &zone = "tema-a") {
    Findings findings;
    VmSettings settings =
        readVmSettings("test", Platform.vmSettings(n, zone), findings);
    LONGS_EQUAL(0, findings.size());
    Vms.push_back(std::make_unique<VmDaemon>(Io, settings, ""));
    CHECK_TRUE(Vms.back()->start());
  }

  bool ready(int n) {
    int status = 0;
    CallerRequest request;
    request.Path = "/readiness";
    callVm(Io, Platform.readyAddress(n), request,
           [&](const CallerResult &it) { status = it.Status ? it.Status : 1; });
    waitUntil([&] { return status != 0; });
    return status == 200;
  }

  void waitReady(int n) {
    CHECK_TRUE(waitUntil([&] { return ready(n); }));
  }

  CallerResult call(int n, CallerRequest request) {
    if (request.Attempt.empty())
      request.Attempt = "attempt-" + std::to_string(++Attempts);
    CallerResult result;
    bool done = false;
    callVm(Io, Platform.callerAddress(n), request, [&](const CallerResult &it) {
      result = it;
      done = true;
    });
    CHECK_TRUE(waitUntil([&] { return done; }));
    return result;
  }

  /// Sends requests, one after the other, each for an object that no target has
  /// cached.
  void callMany(int n) {
    for (int i = 0; i < n; ++i) {
      CallerRequest request;
      request.AffinityKey = "object-" + std::to_string(Attempts);
      LONGS_EQUAL(200, call(2, request).Status);
    }
  }
};

/// \returns an at-most-once request.
inline CallerRequest permitRequest(const std::string &attempt) {
  CallerRequest request;
  request.Method = "POST";
  request.Path = "/permits/1";
  request.Body = "zone 7";
  request.Attempt = attempt;
  return request;
}

} // namespace savorylb::standin

#endif // SAVORYLB_VM_FIXTURE_H
