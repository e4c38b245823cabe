#ifndef SAVORYLB_TARGET_CLIENT_H
#define SAVORYLB_TARGET_CLIENT_H

#include "savorylb/error.h"
#include "savorylb/ids.h"
#include "savorylb/slot_table.h"
#include "savorylb/units.h"

#include <functional>
#include <istream>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace savorylb {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A request on its way to a target. It carries no tenant key.
struct TargetRequest {
  std::string Address;
  std::string Method;
  std::string Path;
  HeaderList Headers;
  /// Body source, null without a body.
  std::istream *Body = nullptr;
  /// Exact body length, or -1 for a chunked one.
  std::int64_t BodyLength = 0;
  std::string Nonce;
  Duration Remaining{};
  bool RequireEcho = false;
  /// Use only a connection that is certainly alive.
  bool VerifiedConnection = false;
  /// It may be sent again, so it need not wait on a silent connection.
  bool Repeatable = false;
  /// Polled while waiting; true means that the caller has left.
  std::function<bool()> Cancelled;
};

/// How an attempt on a target ended.
enum class TargetOutcome {
  /// The whole response came.
  Done,
  /// Nothing ran: no byte was sent, or the target said so.
  NotRun,
  /// The request may have run.
  Unknown,
};

/// A target's response, or why there is none.
struct TargetResponse {
  TargetOutcome Outcome = TargetOutcome::Unknown;
  int Status = 0;
  HeaderList Headers;
  /// Small bodies; larger ones went to the sink.
  std::string Body;
  bool Streamed = false;
  /// Bytes of the body, streamed or not.
  std::int64_t BodyBytes = 0;
  /// Bytes of the request body that were sent.
  std::int64_t SentBytes = 0;
  /// `shed`, `truncated`, `crossed`, `timeout`, `connect`, `cancelled`,
  /// `silent`,
  /// ...
  std::string Reason;
  Duration Took{};
  /// The request was left and the target has not shown that it stopped.
  bool MayRun = false;
};

/// Receives a response that is too large to buffer: first status and headers,
/// then the body as it comes.
struct ResponseSink {
  /// Starts the caller's response; null when the caller is gone.
  std::function<std::ostream *(int status, const HeaderList &headers,
                               std::int64_t length)>
      Start;
};

/// What a target's health endpoint says.
enum class TargetHealth { Ready, NotReady, Draining };

/// The edge to targets.
struct TargetClient {
  std::function<TargetResponse(const TargetRequest &, const ResponseSink &)>
      Send;
  /// Reads the load endpoint of a target.
  std::function<Result<LoadReport>(const std::string &address)> ReadLoad;
  /// Probes the health endpoint.
  std::function<Result<TargetHealth>(const std::string &address)> ProbeHealth;
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_CLIENT_H
