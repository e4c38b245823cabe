#ifndef SAVORYLB_USAGE_ENDPOINT_H
#define SAVORYLB_USAGE_ENDPOINT_H

#include "http_server.h"
#include "usage_protocol.h"

#include <map>
#include <string>
#include <vector>

namespace savorylb::standin {

/// What the platform expects of usage reports; also the VMs' settings.
struct UsageRules {
  /// Refuses a lower token than the highest one seen.
  bool ChecksToken = true;
  /// Calls accepted in any second; further ones are refused with 429.
  int CallsPerSecond = 50;
  Millis Lease{1000};
  Millis LeaseMargin{200};
  Millis Window{1000};
  Millis Due{10000};
};

/// How the endpoint handles calls.
enum class UsageFault {
  None,
  /// Responds with 503 and executes nothing.
  Busy,
  /// Neither executes nor responds.
  Lost,
  /// Executes after a delay and does not respond.
  Late,
  /// Executes and closes the connection without a response.
  Reset,
};

/// A call that the endpoint received.
struct ReceivedUsage {
  MonoTime ArrivedAt{};
  platform::UsageCall Call;
  /// Status of the execution or refusal; 0 if the call was not executed.
  int Status = 0;
};

/// What the endpoint has received, and the violations found in it.
struct UsageLedger {
  std::vector<ReceivedUsage> Calls;
  FencingToken HighestToken;
  /// Counts that were accepted first.
  std::map<UsageWindow, TeamCounts> Accepted;
  std::map<FencingToken, VmId> TokenHolders;
  /// Last accepted call of each holder, by its arrival.
  std::map<VmId, MonoTime> ActedAt;
  VmId LastHolder;
  std::vector<std::string> Violations;
};

/// Records a call. A token that another holder has sent is a violation.
/// \returns the index of the call in the ledger.
std::size_t receiveUsage(UsageLedger &ledger, const platform::UsageCall &call,
                         MonoTime now);

/// Executes a received call. Violations are other counts than before for the
/// window, a holder that acts again within the lease after another one, and,
/// if tokens are not checked, a lower token after a higher one.
/// \returns the status of the response: 200 or 409.
int executeUsage(UsageLedger &ledger, std::size_t index,
                 const UsageRules &rules);

/// Simulates the platform's interface for usage reports.
class UsageEndpoint {
public:
  explicit UsageEndpoint(asio::io_context &io);

  /// \returns whether the address could be bound.
  bool listen(const std::string &address) { return Server.listen(address); }

  /// \param delay time until the execution with UsageFault::Late.
  void setFault(UsageFault fault, Duration delay = Duration::zero()) {
    Fault = fault;
    Delay = delay;
  }

  UsageRules Rules;
  UsageLedger Ledger;

private:
  void serve(const std::shared_ptr<ServedRequest> &request);

  asio::io_context &Io;
  HttpServer Server;
  UsageFault Fault = UsageFault::None;
  Duration Delay{0};
};

} // namespace savorylb::standin

#endif // SAVORYLB_USAGE_ENDPOINT_H
