#ifndef SAVORYLB_STANDINS_TARGET_H
#define SAVORYLB_STANDINS_TARGET_H

#include "connection_epochs.h"
#include "execution_log.h"
#include "response_swapper.h"
#include "service_time.h"
#include "slot_limiter.h"
#include "target_counts.h"
#include "target_faults.h"
#include "target_spec.h"

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace savorylb::standin {

/// A target with its slots, injected faults and counts.
class Target {
public:
  /// \param forbiddenValues values, such as tenant keys, that must not occur in
  /// a header or the path; requests with one are counted.
  Target(TargetSpec spec, const ServiceTime &time, ExecutionLog &log,
         std::vector<std::string> forbiddenValues);

  /// Handles a request on the target's port.
  void handleRequest(Poco::Net::HTTPServerRequest &req,
                     Poco::Net::HTTPServerResponse &resp);

  /// \param name name of a setting in the control interface.
  /// Throws Poco::InvalidArgumentException for an unknown setting.
  void set(const std::string &name, const std::string &value);

  TargetCounts counts() const;
  void resetCounts();
  TargetSpec spec() const;
  /// \returns the filter to be called for each accepted connection.
  Poco::Net::TCPServerConnectionFilter::Ptr filter() { return Epochs; }

private:
  struct RequestContext;

  void sendHealth(Poco::Net::HTTPServerResponse &resp);
  void sendLoad(Poco::Net::HTTPServerResponse &resp);
  void countRequest(const Poco::Net::HTTPServerRequest &req);
  void execute(RequestContext &ctx);
  void respond(RequestContext &ctx);
  /// Sends a response, or part of it when the truncation fault applies.
  void send(RequestContext &ctx, const OutgoingResponse &resp);
  void sendNotRun(RequestContext &ctx, const std::string &reason);
  /// On a silenced connection, waits until the peer closes it.
  /// \returns whether the connection was silenced.
  bool holdIfSilenced(RequestContext &ctx);
  /// Draws the service time of a request.
  std::int64_t serviceMicros(const std::string &path);
  /// \returns true with a probability of \p ppm parts per million.
  bool drawFault(std::int64_t ppm);
  void count(const std::string &name);
  TargetFaults faults() const;

  mutable std::mutex Lock;
  TargetSpec Spec;
  ServiceTime Time;
  ExecutionLog &Log;
  const std::vector<std::string> ForbiddenValues;
  SlotLimiter Limiter;
  ResponseSwapper Swapper;
  Poco::AutoPtr<ConnectionEpochs> Epochs;
  TargetFaults Faults;
  TargetCounts Counts;
  std::mt19937_64 Random;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_TARGET_H
