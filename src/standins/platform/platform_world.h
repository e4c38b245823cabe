#ifndef SAVORYLB_PLATFORM_WORLD_H
#define SAVORYLB_PLATFORM_WORLD_H

#include "platform_caller.h"
#include "platform_store.h"
#include "platform_target.h"

#include <memory>
#include <string>
#include <vector>

namespace savorylb::standin {

/// A store and targets on loopback addresses, and an operator.
struct PlatformWorld {
  explicit PlatformWorld(asio::io_context &io) : Io(io), Store(io) {}

  /// Binds the store and adds the first configuration.
  /// \param net third number of the addresses, 127.0.NET.x.
  bool start(int net);

  /// Adds a target that serves tiles or permits.
  PlatformTarget &addTarget(const std::string &service, const std::string &zone,
                            const std::string &version = "v1");

  /// Writes the next version of the configuration.
  /// \param keys of the team `port`.
  void configure(const std::vector<std::string> &keys);

  /// \returns the settings of a VM in savorylb's own format.
  std::string vmSettings(int n, const std::string &zone) const;
  std::string callerAddress(int n) const;
  std::string lookupAddress(int n) const;
  std::string readyAddress(int n) const;

  /// \returns the runs of an attempt over all targets.
  int runsOf(const std::string &attempt) const;

  asio::io_context &Io;
  PlatformStore Store;
  std::vector<std::unique_ptr<PlatformTarget>> Targets;
  int Net = 0;
  int Version = 0;
};

} // namespace savorylb::standin

#endif // SAVORYLB_PLATFORM_WORLD_H
