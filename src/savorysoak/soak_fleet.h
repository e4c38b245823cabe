#ifndef SAVORYLB_SOAK_FLEET_H
#define SAVORYLB_SOAK_FLEET_H

#include "loopback_proxy.h"
#include "loss_check.h"
#include "simulated_platform.h"
#include "vm_process.h"

#include <fstream>
#include <functional>
#include <map>
#include <memory>
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
  /// Number of targets of each service.
  int Targets = 4;
  /// Requests a second over all VMs.
  int Rate = 125;
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
  /// Requests sent on a connection that had carried others.
  int Kept = 0;
  /// Requests sent at about the end of the idle timeout.
  int AtIdleTimeout = 0;
  /// Requests that ran and were lost beside a kill or a pause of the process.
  int Excused = 0;
  /// Windows whose usage was reported.
  int UsageWindows = 0;
  std::vector<std::string> Violations;
};

/// A daemon with its link to the store.
struct SoakVm {
  int Number = 0;
  std::string SettingsFile;
  std::unique_ptr<VmProcess> Process;
  std::unique_ptr<LoopbackProxy> StoreLink;
  std::vector<Disruption> Disruptions;
};

/// The simulated platform, the daemons and what the faults did to them.
struct SoakFleet {
  explicit SoakFleet(const SoakOptions &options)
      : Options(options), Platform(Io) {}

  SoakOptions Options;
  asio::io_context Io;
  standin::SimulatedPlatform Platform;
  std::vector<SoakVm> Vms;
  /// Times in which a target, by its index, was in another mode than Serve.
  std::map<std::size_t, std::vector<TimeSpan>> TargetFaults;
  std::vector<IdleTimeoutChange> IdleTimeouts;
  std::string Key = "key-1";
  std::map<std::string, MonoTime> WithdrawnKeys;
  SoakReport Report;
  /// The check after recovery runs: no faults, nearly all requests must be
  /// served.
  bool CheckingRecovery = false;
  /// Log of faults and failed requests.
  std::ofstream Log;
};

/// Binds the platform's addresses and starts all daemons.
/// \returns false if an address cannot be bound or a daemon cannot be started.
bool startFleet(SoakFleet &fleet);

/// Calls a function on the fleet's loop after a time.
void runAfter(SoakFleet &fleet, Duration span,
              const std::function<void()> &what);

/// Writes a line with the time into the log.
void logLine(SoakFleet &fleet, const std::string &text);
void addViolation(SoakFleet &fleet, const std::string &what);

/// Starts the daemon unless it is running; a violation if the previous process
/// ended by itself.
void startVm(SoakFleet &fleet, SoakVm &vm);
void killVm(SoakFleet &fleet, SoakVm &vm);
/// Sends SIGTERM and starts a new process after the end of this one; a
/// violation if it does not end within its grace period.
void terminateVm(SoakFleet &fleet, SoakVm &vm);
void pauseVm(SoakFleet &fleet, SoakVm &vm);
void resumeVm(SoakFleet &fleet, SoakVm &vm);

/// \returns whether a target that was sound from the one time to the other ran
/// the attempt.
bool ranAtSoundTarget(const SoakFleet &fleet, const std::string &attempt,
                      MonoTime from, MonoTime to);

/// Service time of targets that are not slowed down.
constexpr Duration NormalServiceTime = Millis(20);
/// Default of the daemon's setting `stop_grace`.
constexpr Duration GracePeriod = Seconds(6);

} // namespace savorylb::soak

#endif // SAVORYLB_SOAK_FLEET_H
