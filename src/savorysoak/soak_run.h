#ifndef SAVORYLB_SOAK_RUN_H
#define SAVORYLB_SOAK_RUN_H

#include "loopback_proxy.h"
#include "simulated_platform.h"
#include "vm_process.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace savorylb::soak {

/// Options of a run of the soak test.
struct SoakOptions {
  std::uint64_t Seed = 1;
  /// Duration of fault injection.
  int Seconds = 20;
  /// Number of daemons.
  int Vms = 4;
  /// Path of the daemon program.
  std::string Program;
  /// Folder for settings and logs.
  std::string Folder;
  /// Third octet of the addresses, 127.0.NET.x.
  int Net = 100;
};

/// Counts of requests by result, injected faults and failed checks.
struct SoakReport {
  int Sent = 0;
  int Served = 0;
  int Refused = 0;
  int Unknown = 0;
  int Faults = 0;
  std::vector<std::string> Violations;
};

/// Runs daemons as processes, injects faults in an order derived from the seed,
/// and checks the results of callers and the runs at targets.
class SoakRun {
public:
  explicit SoakRun(const SoakOptions &options);

  /// Runs the soak test; blocks for its whole duration.
  SoakReport run();

private:
  struct SentRequest {
    bool AtMostOnce = false;
    std::string Key;
    MonoTime SentAt{};
  };

  bool startPlatform();
  void sendNext();
  void onResult(const std::string &attempt, const standin::CallerResult &it);
  void injectNextFault();
  void injectProcessFault(int variant);
  void injectStoreFault(int variant);
  void injectTargetFault(int variant);
  void injectLinkFault(int variant);
  void withdrawKey();
  void clearFaults();
  void runAfter(Duration span, const std::function<void()> &what);
  void addViolation(const std::string &what);
  void checkRuns();
  std::size_t randomBelow(std::size_t n);

  SoakOptions Options;
  asio::io_context Io;
  standin::SimulatedPlatform Platform;
  std::vector<std::unique_ptr<VmProcess>> Vms;
  std::vector<std::unique_ptr<LoopbackProxy>> StoreLinks;
  std::mt19937_64 Random;
  asio::steady_timer SendTimer;
  asio::steady_timer FaultTimer;
  SoakReport Report;
  std::map<std::string, SentRequest> Attempts;
  std::map<std::string, int> Statuses;
  std::string Key = "key-1";
  std::map<std::string, MonoTime> WithdrawnKeys;
  int LastKeyNumber = 1;
  /// The check after recovery runs: no faults, nearly all requests must be
  /// served.
  bool CheckingRecovery = false;
  int RecoverySent = 0;
  int RecoveryServed = 0;
};

} // namespace savorylb::soak

#endif // SAVORYLB_SOAK_RUN_H
