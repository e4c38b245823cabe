#ifndef SAVORYLB_REQUEST_RUNNER_H
#define SAVORYLB_REQUEST_RUNNER_H

#include "edge_protocol.h"
#include "http_server.h"
#include "steering_state.h"
#include "target_pool.h"

namespace savorylb {

/// Carries one caller's request to targets and its response back.
class RequestRunner : public std::enable_shared_from_this<RequestRunner> {
public:
  RequestRunner(asio::io_context &io, SteeringState &state, TargetPool &pool,
                std::shared_ptr<ServedRequest> request);

  void start();

private:
  /// A send to one target.
  struct Send {
    TargetId Target;
    VersionId Version;
    std::shared_ptr<HttpConnection> Connection;
    bool Reused = false;
    double ExpectedMs = 0;
    double ExpectedUncachedMs = 0;
    double LoadAtSend = 0;
    MonoTime SentAt{};
  };

  void place();
  void send(const PlacementChoice &choice);
  void onConnected(std::shared_ptr<HttpConnection> connection);
  void transmit();
  void onEnd(ExchangeOutcome end, HttpMessage &response);
  void onResponse(HttpMessage &response);
  void noteEnd(TargetResult result, int status,
               const std::optional<TargetLoad> &load);
  void retry(const char *reason);
  void onDeadline();
  void onGone();
  void refuse(int status, const char *reason, Duration retryAfter);
  void fail(int status, const char *reason);
  void finish(HttpMessage response, const char *reason, bool own);
  void logEnd(int status, const char *reason, bool own);
  bool expired() const;

  SteeringState &State;
  TargetPool &Pool;
  std::shared_ptr<ServedRequest> Request;
  asio::steady_timer Deadline;
  platform::CallerNotes Notes;
  SteeredRequest Steered;
  Send Current;
  /// A target may run the request, or may have run it.
  bool MayHaveRun = false;
  /// The same for the targets before the current one.
  bool EarlierMayHaveRun = false;
  int TimesSent = 0;
  bool TokenTaken = false;
  bool Done = false;
};

} // namespace savorylb

#endif // SAVORYLB_REQUEST_RUNNER_H
