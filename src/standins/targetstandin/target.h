#ifndef SAVORYLB_STANDINS_TARGET_H
#define SAVORYLB_STANDINS_TARGET_H

#include "connection_epochs.h"
#include "cross_exchange.h"
#include "execution_log.h"
#include "service_time.h"
#include "slot_gate.h"
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

/// One target: its slots, faults and counts.
class Target {
public:
  /// \param forbidden values that must not appear in a header or the path.
  Target(TargetSpec spec, const ServiceTime &time, ExecutionLog &log,
         std::vector<std::string> forbidden);

  /// Answers a request on the target's port.
  void answer(Poco::Net::HTTPServerRequest &req,
              Poco::Net::HTTPServerResponse &resp);

  /// Changes one setting by its name in the control interface.
  /// Throws Poco::InvalidArgumentException for an unknown one.
  void set(const std::string &name, const std::string &value);

  TargetCounts counts() const;
  void resetCounts();
  TargetSpec spec() const;
  /// \returns the filter that must see all accepted connections.
  Poco::Net::TCPServerConnectionFilter::Ptr filter() { return Epochs; }

private:
  struct Work;

  void answerHealth(Poco::Net::HTTPServerResponse &resp);
  void answerLoad(Poco::Net::HTTPServerResponse &resp);
  void noteRequest(const Poco::Net::HTTPServerRequest &req);
  void execute(Work &w);
  void respond(Work &w);
  void send(Work &w, const TargetAnswer &it);
  void refuse(Work &w, const std::string &reason);
  bool holdIfSilent(Work &w);
  std::int64_t serviceMicros(const std::string &path);
  bool chance(std::int64_t ppm);
  void count(const std::string &name);
  TargetFaults faults() const;

  mutable std::mutex Lock;
  TargetSpec Spec;
  ServiceTime Time;
  ExecutionLog &Log;
  const std::vector<std::string> Forbidden;
  SlotGate Gate;
  CrossExchange Cross;
  Poco::AutoPtr<ConnectionEpochs> Epochs;
  TargetFaults Faults;
  TargetCounts Counts;
  std::mt19937_64 Random;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_TARGET_H
