#ifndef SAVORYLB_PLATFORM_TARGET_H
#define SAVORYLB_PLATFORM_TARGET_H

#include "http_server.h"
#include "platform_store.h"

#include <map>
#include <string>

namespace savorylb::standin {

/// How a simulated target handles requests.
enum class TargetMode {
  Serve,
  /// Refuses with 503 and declares that it did not run the request.
  Shed,
  /// Refuses with 421, as a target that reuses the address of another one.
  Misdirected,
  /// Runs the request and closes the connection without a response.
  DropResponse,
  /// Responds with the id of another attempt.
  WrongAttemptId,
  /// Responds without its signature.
  Unsigned,
  /// Runs the request and never responds.
  Silent,
  /// Runs the request and responds with 500.
  Fail,
};

/// Start time of simulated targets in Unix milliseconds.
constexpr std::int64_t DefaultStartTime = 1'790'000'000'000;

/// \returns the entry of a target in the store.
std::string targetEntry(const std::string &address, const std::string &service,
                        const std::string &zone,
                        const std::string &version = "v1",
                        const std::string &state = "ready", int sequence = 1,
                        std::int64_t startedAt = DefaultStartTime);

/// Simulates one target of the platform.
class PlatformTarget {
public:
  PlatformTarget(asio::io_context &io, PlatformStore &store, std::string id,
                 std::string service, std::string zone, std::string version);

  bool listen(const std::string &address);
  /// Writes the target's entry into the store.
  void registerEntry(const std::string &state = "ready");
  /// Sets the largest request body that the target reads.
  void setMaxBodyBytes(std::int64_t bytes) {
    SessionLimits limits;
    limits.MaxBodyBytes = bytes;
    Server.setLimits(limits);
  }
  void removeEntry() { Store.remove("servers/" + Id); }
  /// \returns the number of open connections.
  std::size_t connections() const { return Server.connections(); }

  TargetMode Mode = TargetMode::Serve;
  Duration ServiceTime = Millis(5);
  /// Bytes appended to the body of each response.
  std::size_t PaddingBytes = 0;
  /// Announces its departure in all responses.
  bool Leaving = false;
  /// Value of the Retry-After field of its refusals with 503; empty omits it.
  std::string RetryAfter;
  /// Start time in its entry; a new value stands for a restart.
  std::int64_t StartedAt = DefaultStartTime;
  /// Number of runs of each attempt on this target.
  std::map<std::string, int> Runs;
  /// Number of attempts whose connection closed while they ran.
  int Cancelled = 0;
  /// Number of requests that it received, including refused ones.
  int Received = 0;
  /// Number of requests that carried a caller's key.
  int KeysSeen = 0;
  /// Team of the last request.
  std::string LastTeam;

private:
  void serve(const std::shared_ptr<ServedRequest> &request);
  void answer(const std::shared_ptr<ServedRequest> &request);
  void addNotices(HttpMessage &response) const;

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
