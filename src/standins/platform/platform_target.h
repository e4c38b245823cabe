#ifndef SAVORYLB_PLATFORM_TARGET_H
#define SAVORYLB_PLATFORM_TARGET_H

#include "http_server.h"
#include "platform_store.h"

#include <map>
#include <string>

namespace savorylb::standin {

/// What a stand-in target does with requests.
enum class TargetMode {
  Serve,
  /// Refuses with 503 and says that it did not run the request.
  Shed,
  /// Says 421, as a target that was given the address of another one.
  OtherTarget,
  /// Runs the request and ends the connection.
  LoseAnswer,
  /// Answers with the id of another attempt.
  CrossAnswer,
  /// Answers without its signature.
  Unsigned,
  /// Runs the request and never answers.
  Silent,
  /// Runs the request and answers 500.
  Fail,
};

/// Takes the place of one target of the platform.
class PlatformTarget {
public:
  PlatformTarget(asio::io_context &io, PlatformStore &store, std::string id,
                 std::string service, std::string zone, std::string version);

  bool listen(const std::string &address);
  /// Writes the entry into the store.
  void enter(const std::string &state = "ready");
  void leave() { Store.remove("servers/" + Id); }

  TargetMode Mode = TargetMode::Serve;
  Duration Work = Millis(5);
  /// How often each attempt was run here.
  std::map<std::string, int> Runs;
  /// Attempts that were given up while they ran.
  int Cancelled = 0;
  /// Requests that carried a caller's key.
  int KeysSeen = 0;
  /// Team of the last request.
  std::string LastTeam;

private:
  void serve(const std::shared_ptr<ServedRequest> &request);
  void answer(const std::shared_ptr<ServedRequest> &request);

  asio::io_context &Io;
  PlatformStore &Store;
  HttpServer Server;
  std::string Id;
  std::string Service;
  std::string Zone;
  std::string Version;
  std::string Address;
  int Running = 0;
  int Sequence = 0;
};

} // namespace savorylb::standin

#endif // SAVORYLB_PLATFORM_TARGET_H
