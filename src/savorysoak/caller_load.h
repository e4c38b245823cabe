#ifndef SAVORYLB_CALLER_LOAD_H
#define SAVORYLB_CALLER_LOAD_H

#include "soak_fleet.h"

#include <optional>
#include <random>

namespace savorylb::soak {

/// Sends callers' requests on new and on kept connections and checks their
/// results.
class CallerLoad {
public:
  explicit CallerLoad(SoakFleet &fleet);

  void start() { sendNext(); }
  void stop() { Stopped = true; }

  /// Checks all requests against the runs at targets and the faults; to be
  /// called after the end of the load.
  void checkRequests();

private:
  /// What determines the idle time of a connection before a request.
  enum class IdlePhase { New, Pooled, WithinLimit, AtTimeout };

  struct SentRequest {
    bool AtMostOnce = false;
    std::string Key;
    MonoTime SentAt{};
    std::size_t Vm = 0;
    IdlePhase Phase = IdlePhase::New;
    Duration IdleTime{0};
    bool WithinIdleLimit = false;
    bool CountsForRecovery = false;
    MonoTime EndedAt{};
    /// Status of the result; nothing while there is none.
    std::optional<int> Status;
    bool Signed = false;
    /// Whether the connection was established.
    bool Sent = false;
  };

  /// A connection on which no request is open.
  struct KeptConnection {
    std::shared_ptr<HttpConnection> Connection;
    /// Time when its last request was sent, before which the VM cannot have
    /// started the idle timer.
    MonoTime LastSentAt{};
  };

  void sendNext();
  void sendOnNew(std::size_t vm, bool keep);
  void sendOnKept(std::size_t vm, const KeptConnection &kept, IdlePhase phase);
  standin::CallerRequest makeRequest(std::size_t vm, IdlePhase phase);
  standin::CallerHandler makeHandler(const std::string &attempt);
  void abandonSome(const std::shared_ptr<HttpConnection> &connection);
  /// Decides when the connection of an answered request carries the next one.
  void keep(std::size_t vm, const KeptConnection &kept);
  std::optional<KeptConnection> takeIdle(std::size_t vm);
  void checkClosedIdle(std::size_t vm, const KeptConnection &kept);
  bool withinIdleLimit(const KeptConnection &kept) const;
  void onResult(const std::string &attempt, const standin::CallerResult &it);
  void checkRuns(const std::string &attempt, const SentRequest &sent);
  void checkLoss(const std::string &attempt, const SentRequest &sent);
  std::size_t randomBelow(std::size_t n) { return Random() % n; }

  SoakFleet &Fleet;
  std::mt19937_64 Random;
  std::map<std::string, SentRequest> Attempts;
  std::vector<std::vector<KeptConnection>> Idle;
  bool Stopped = false;
  int RecoverySent = 0;
  int RecoveryServed = 0;
};

} // namespace savorylb::soak

#endif // SAVORYLB_CALLER_LOAD_H
