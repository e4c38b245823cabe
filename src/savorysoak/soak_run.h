#ifndef SAVORYLB_SOAK_RUN_H
#define SAVORYLB_SOAK_RUN_H

#include "loopback_proxy.h"
#include "platform_world.h"
#include "vm_process.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace savorylb::soak {

struct SoakOptions {
  std::uint64_t Seed = 1;
  int Seconds = 20;
  int Vms = 4;
  /// Path of the daemon.
  std::string Program;
  /// Folder for settings and logs.
  std::string Folder;
  /// Third number of the addresses, 127.0.NET.x.
  int Net = 100;
};

struct SoakReport {
  int Sent = 0;
  int Served = 0;
  int Refused = 0;
  int Unknown = 0;
  int Faults = 0;
  std::vector<std::string> Violations;
};

/// Runs daemons as processes, harms them in the order that the seed gives, and
/// checks what callers and targets see.
class SoakRun {
public:
  explicit SoakRun(const SoakOptions &options);

  SoakReport run();

private:
  struct Sent {
    bool Once = false;
    std::string Key;
    MonoTime At{};
  };

  bool startWorld();
  void sendNext();
  void onResult(const std::string &attempt, const standin::CallerResult &it);
  void injectNext();
  void injectProcess(int which);
  void injectStore(int which);
  void injectTarget(int which);
  void injectLink(int which);
  void withdrawKey();
  void heal();
  void after(Duration span, const std::function<void()> &what);
  void violated(const std::string &what);
  void checkRuns();
  std::size_t pick(std::size_t n);

  SoakOptions Options;
  asio::io_context Io;
  standin::PlatformWorld World;
  std::vector<std::unique_ptr<VmProcess>> Vms;
  std::vector<std::unique_ptr<LoopbackProxy>> StoreLinks;
  std::mt19937_64 Random;
  asio::steady_timer SendTimer;
  asio::steady_timer FaultTimer;
  SoakReport Report;
  std::map<std::string, Sent> Attempts;
  std::map<std::string, int> Statuses;
  std::string Key = "key-1";
  std::map<std::string, MonoTime> Withdrawn;
  int Keys = 1;
  bool Calm = false;
  int CalmSent = 0;
  int CalmServed = 0;
};

} // namespace savorylb::soak

#endif // SAVORYLB_SOAK_RUN_H
