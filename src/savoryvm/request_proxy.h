#ifndef SAVORYLB_REQUEST_PROXY_H
#define SAVORYLB_REQUEST_PROXY_H

#include "edge_protocol.h"
#include "http_server.h"
#include "steering_state.h"
#include "target_pool.h"

namespace savorylb {

/// Forwards one caller's request to targets, with retries, and relays the
/// response to the caller. Keeps itself alive until it has responded or the
/// caller's connection closes.
class RequestProxy : public std::enable_shared_from_this<RequestProxy> {
public:
  RequestProxy(asio::io_context &io, SteeringState &state, TargetPool &pool,
               std::shared_ptr<ServedRequest> request);

  /// Admits the request and sends it to a target, or refuses it.
  void start();

private:
  /// One transmission of the request to a target.
  struct Send {
    TargetId Target;
    TargetStart Start;
    VersionId Version;
    std::shared_ptr<HttpConnection> Connection;
    bool Reused = false;
    /// The target is in another zone than this VM.
    bool LeavesZone = false;
    double ExpectedMs = 0;
    double ExpectedUncachedMs = 0;
    double LoadAtSend = 0;
    std::size_t ResponseBytes = 0;
    /// Time with which the send was counted as usage.
    std::optional<WallTime> CountedAt;
    MonoTime SentAt{};
  };

  /// \returns whether late responses to earlier requests can be told apart. A
  ///          request for which they cannot uses a connection of its own.
  bool hasAttemptId() const { return !Metadata.AttemptId.empty(); }
  void place();
  /// Places the request again after a pause.
  void defer(Duration pause);
  void send(const PlacementChoice &choice);
  void onConnected(std::shared_ptr<HttpConnection> connection);
  /// Places the request again after its target became unusable before
  /// transmission.
  void placeAgain();
  void transmit();
  /// Keeps the connection for later requests, or closes it if its target gets
  /// no more.
  void releaseConnection(const std::shared_ptr<HttpConnection> &connection);
  /// Applies what the target told about its use.
  void applyNotices(const platform::TargetReply &reply);
  /// Responds to a request that cannot be sent to any target.
  void giveUp(const char *reason, const PlacementChoice &choice);
  void onExchangeEnd(ExchangeOutcome end, HttpMessage &response);
  void onResponse(HttpMessage &response);
  void recordSendResult(TargetResult result, int status,
                        const std::optional<TargetLoad> &load);
  void retry(const char *reason);
  void onDeadline();
  void onCallerGone();
  /// Ends the current send without a result, which says nothing of its target.
  void cancelCurrentSend();
  /// Responds at once with what is known, as the VM stops.
  void onBreakOff();
  void refuse(int status, const char *reason, Duration retryAfter);
  void fail(int status, const char *reason);
  void finish(HttpMessage response, const char *reason, bool local);
  void logCompletion(int status, const char *reason, bool local);
  /// \returns whether too little time is left for a target to respond before
  ///          the deadline.
  bool tooLateToSend() const;

  SteeringState &State;
  TargetPool &Pool;
  std::shared_ptr<ServedRequest> Request;
  /// Body of the request; all sends share it.
  std::shared_ptr<const std::string> Body;
  asio::steady_timer Deadline;
  /// Places a request again that waits for an unreserved slot.
  asio::steady_timer DeferTimer;
  platform::CallerMetadata Metadata;
  SteeredRequest Steered;
  Send CurrentSend;
  /// A target may be running the request or may have run it.
  bool MayHaveRun = false;
  /// MayHaveRun for the earlier sends only. MayHaveRun returns to this value
  /// when a target reports that it did not run the request.
  bool EarlierMayHaveRun = false;
  int SendCount = 0;
  /// The request was charged to its team's limit.
  bool ChargedToTeam = false;
  bool Done = false;
};

} // namespace savorylb

#endif // SAVORYLB_REQUEST_PROXY_H
