#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

#include "http_connection.h"
#include "instance.h"
#include "proxy.h"

#include <memory>
#include <sys/types.h>

namespace review {

/// A place of a deployment.
struct Zone {
  std::string Name;
  std::string Region;
};

/// Kills all processes that this one started, and ends with a status; may be
/// called by a signal handler.
[[noreturn]] void killAllAndEnd(int status);

/// One savoryvm process, started with the command of the deploy file.
class Vm {
public:
  Vm(std::string name, Zone zone, std::string ip, std::string folder)
      : Name(std::move(name)), Place(std::move(zone)), Ip(std::move(ip)),
        Folder(std::move(folder)) {}
  ~Vm();
  bool start(const std::string &program);
  void signal(int number) const;
  /// \returns whether the process has not ended.
  bool running();
  std::string callerAddress() const { return Ip + ":8686"; }
  std::string readyAddress() const { return Ip + ":8680"; }
  std::string settingsFile() const { return Folder + "/" + Name + ".json"; }

  std::string Name;
  Zone Place;
  std::string Ip;
  /// Wait status of the ended process.
  int Status = 0;

private:
  std::string Folder;
  pid_t Pid = 0;
};

/// A route of the configuration.
struct Route {
  std::string Name;
  std::string Prefix;
  std::string Kind;
  std::string Service;
  Millis Timeout{2500};
  Millis Target{400};
  int Priority = 1;
  bool Affinity = false;
};

/// Kinds of settings: with the bounds of rollouts, or without them, as at the
/// deployment whose clients pipeline.
enum class SettingsKind { WithRollouts, WithoutRollouts };

struct Fleet {
  Fleet(std::string folder, std::string program, int net);

  std::string ip(int host) const;
  /// Adds a VM; start() starts it.
  Vm &addVm(const Zone &zone);
  Instance &addInstance(const std::string &service, const Zone &zone, int slots,
                        Duration runTime);
  bool start(const std::vector<Route> &routes, SettingsKind kind);
  /// Writes the next version of the configuration, with Keys.
  void configure(const std::vector<Route> &routes);
  /// Runs the event loop.
  void runFor(Duration span);
  bool runUntil(const std::function<bool()> &condition, Duration limit);
  /// Waits until all VMs answer readiness checks with 200.
  bool waitReady();
  void at(Duration span, const std::function<void()> &what);

  std::string Folder;
  std::string Program;
  int Net;
  asio::io_context Io;
  Record Log;
  Store Platform;
  /// The machines reach the store through it.
  Proxy StoreLink;
  std::vector<Zone> Zones;
  std::vector<std::unique_ptr<Vm>> Vms;
  std::vector<std::unique_ptr<Instance>> Instances;
  std::vector<Arrival> Arrivals;
  /// Keys of the one tenant.
  std::vector<std::string> Keys;
  int Version = 7;
};

/// What a client got.
struct Outcome {
  /// 0 if the connection ended without a complete answer.
  int Status = 0;
  bool Signed = false;
  std::string Body;
};

/// One client request.
struct ClientRequest {
  std::string Method = "POST";
  std::string Path;
  std::string Attempt;
  std::string Object;
  std::string Body;
  Millis Deadline{2500};
  /// Empty for the first key.
  std::string Key;
};

/// \returns the text of a request as a client sends it.
std::string requestText(const ClientRequest &request);

/// Sends a request on a new connection.
void sendRequest(Fleet &fleet, const std::string &address,
                 const ClientRequest &request,
                 const std::function<void(const Outcome &)> &done);

} // namespace review

#endif // REVIEW_FLEET_H
