#ifndef SAVORYLB_FAULT_INJECTOR_H
#define SAVORYLB_FAULT_INJECTOR_H

#include "soak_fleet.h"

#include <random>

namespace savorylb::soak {

/// Injects faults in an order derived from the seed.
class FaultInjector {
public:
  explicit FaultInjector(SoakFleet &fleet);

  void start();
  /// Ends the injection and all faults.
  void stop();

private:
  void injectNext();
  void injectOne();
  void injectSeveral();
  void injectProcessFault(SoakVm &vm);
  /// \param variant 0 for a busy store, 1 for a silent one, 2 for lost
  /// responses, 3 for a delay.
  void injectStoreFault(std::size_t variant);
  void injectTargetFault();
  void injectLinkFault();
  /// Starts the next fault of the platform's interface for usage reports.
  void injectUsageFault();
  void terminateWhilePaused();
  void hangupDuringConfigChange();
  void restartDuringStoreOutage();
  void changeConfigInSeries();
  /// Lets the store come back from a copy; the operator and the targets write
  /// again what it has lost.
  void restoreStore();
  void returnToCopy();
  void changeTimeouts();
  void hangup(SoakVm &vm);
  void withdrawKey();
  void writeConfig(const std::vector<std::string> &keys);
  /// Runs a function after a time unless the injection has ended by then.
  void later(Duration span, const std::function<void()> &what);
  SoakVm &randomVm() { return Fleet.Vms[randomBelow(Fleet.Vms.size())]; }
  std::size_t randomBelow(std::size_t n) { return Random() % n; }
  Duration randomSpan(int fromMs, int toMs);

  SoakFleet &Fleet;
  std::mt19937_64 Random;
  /// Separate, so that a seed gives the same order of the other faults as
  /// without usage reports.
  std::mt19937_64 UsageRandom;
  standin::ConfigTimeouts Timeouts;
  std::vector<std::string> Keys{"key-1"};
  int LastKeyNumber = 1;
  int SettingsChanges = 0;
  bool Stopped = false;
};

} // namespace savorylb::soak

#endif // SAVORYLB_FAULT_INJECTOR_H
