#ifndef SAVORYLB_SIMULATED_PLATFORM_H
#define SAVORYLB_SIMULATED_PLATFORM_H

#include "platform_caller.h"
#include "platform_store.h"
#include "platform_target.h"
#include "scripted_server.h"
#include "usage_endpoint.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace savorylb::standin {

/// Timeouts of a configuration.
struct ConfigTimeouts {
  /// Longest idle time of callers' connections.
  Millis Idle{15000};
  /// Time limit of all routes.
  Millis Route{2000};
};

/// Simulates the platform: a store, targets and the interface for usage reports
/// on loopback addresses, and the operator's configuration.
struct SimulatedPlatform {
  explicit SimulatedPlatform(asio::io_context &io)
      : Io(io), Store(io), Usage(io) {}

  /// Binds the store and the interface for usage reports and adds the first
  /// configuration.
  /// \param net third octet of the addresses, 127.0.NET.x.
  /// \returns false if an address cannot be bound.
  bool start(int net);

  /// Adds a target of the service `tiles` or `permits`.
  PlatformTarget &addTarget(const std::string &service, const std::string &zone,
                            const std::string &version = "v1");

  /// Adds a target in the zone `tema-a` that writes raw bytes.
  ScriptedServer &addScriptedTarget(const std::string &service,
                                    ScriptedServer::Script script);

  /// Writes the next version of the configuration.
  /// \param keys keys of the team `port`.
  void configure(const std::vector<std::string> &keys,
                 const ConfigTimeouts &timeouts = ConfigTimeouts());

  /// \returns the settings of a VM in savorylb's own format.
  std::string vmSettings(int n, const std::string &zone) const;
  std::string callerAddress(int n) const;
  std::string lookupAddress(int n) const;
  std::string readyAddress(int n) const;
  std::string peerAddress(int n) const;
  std::string usageAddress() const;
  std::string storeAddress() const;
  /// \returns the address at which a VM reaches the store: one of its own after
  ///          addStoreAddress(), else storeAddress().
  std::string storeAddress(int vm) const;
  /// Binds an address of the store for one VM; call it before vmSettings().
  /// \returns whether the address could be bound.
  bool addStoreAddress(int vm);

  /// \returns the number of runs of an attempt over all targets.
  int runCount(const std::string &attempt) const;

  asio::io_context &Io;
  PlatformStore Store;
  UsageEndpoint Usage;
  /// vmSettings() contains the duty to report usage by the rules of Usage.
  bool DutyOn = false;
  std::vector<std::unique_ptr<PlatformTarget>> Targets;
  std::vector<std::unique_ptr<ScriptedServer>> ScriptedTargets;
  /// VMs that reach the store at an address of their own.
  std::set<int> VmsWithStoreAddress;
  /// Limit of a request's body in the configuration.
  std::int64_t MaxBodyBytes = 1 << 20;
  /// Rate limit of the team in the configuration; 0 for no limit.
  int TeamRequestsPerSecond = 0;
  int Net = 0;
  int Version = 0;
};

} // namespace savorylb::standin

#endif // SAVORYLB_SIMULATED_PLATFORM_H
