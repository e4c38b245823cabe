#include "request_once.h"

#include "once_reply.h"
#include "savorylb/clock.h"
#include "savorylb/digest.h"
#include "stage_timer.h"

#include <algorithm>
#include <thread>

namespace savorylb {
namespace {

constexpr Duration InitialPollInterval = Millis(10);
constexpr Duration MaxPollInterval = Millis(200);
/// How long to wait for a handoff or takeover of the home partition.
constexpr Duration HomeRetryLimit = Millis(800);

std::vector<ZoneId> homeZones(const RequestContext &context) {
  const Config &config = context.ArrivalSnapshot->Conf;
  if (!context.TeamRegions.empty())
    for (const RegionSpec &it : config.Regions)
      if (it.Name == context.TeamRegions.front())
        return it.Zones;
  return allZones(config);
}

std::string requestDigest(const RequestContext &context) {
  return sha256Hex(context.Team.Value + '\n' + context.Method + '\n' +
                   context.Path + '\n' + std::to_string(context.BodyLength) +
                   '\n' + context.BufferedBody);
}

/// \returns the owner of the home partition according to the known owner maps;
/// empty if unknown.
PeerAddress findHomeVm(Daemon &daemon, const OnceHome &home) {
  std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
  auto doc = daemon.Documents.Zones.find(home.Zone);
  if (doc == daemon.Documents.Zones.end())
    return {};
  auto index = static_cast<std::size_t>(home.Partition);
  if (index >= doc->second->Partitions.size())
    return {};
  const VmId &owner = doc->second->Partitions[index];
  auto member = doc->second->Members.find(owner);
  if (member == doc->second->Members.end())
    return {};
  return {owner, member->second.PeerEndpoint};
}

RemoteBegin registerAtHome(RequestContext &context, const OnceHome &home,
                           const PeerAddress &vm, const OnceQuery &query) {
  Daemon &daemon = context.LocalDaemon;
  if (vm.Vm == daemon.Conf.Vm) {
    RemoteBegin result;
    result.Reached = true;
    result.Begin = beginAtHome(daemon, query);
    return result;
  }
  if (vm.Endpoint.empty())
    return {};
  return callBegin(daemon, vm, home.Zone, query);
}

} // namespace

OnceRegistration registerOnce(RequestContext &context) {
  StageTimer timer("once");
  OnceQuery query;
  query.Identity = context.Identity;
  query.Digest = requestDigest(context);
  query.Team = context.Team;
  OnceHome home =
      locateHome(context.Identity, allZones(context.ArrivalSnapshot->Conf),
                 homeZones(context));
  query.Partition = home.Partition;
  OnceRegistration registration;
  registration.Refused = homeUnreachable(context, false);
  bool seenInProgress = false;
  MonoTime homeLimit = monoNow() + HomeRetryLimit;
  Duration pollInterval = InitialPollInterval;
  while (true) {
    query.Remaining = timeLeft(context);
    if (query.Remaining == Duration(0))
      return registration;
    PeerAddress vm = findHomeVm(context.LocalDaemon, home);
    RemoteBegin reply = registerAtHome(context, home, vm, query);
    OnceAction action =
        evaluateReply(reply, registration, context, seenInProgress);
    if (reply.Reached && reply.Begin.Verdict == OnceVerdict::Go)
      registration.Permit = OncePermit{home, vm, reply.Begin.Number};
    if (action == OnceAction::Finish ||
        (action == OnceAction::RetryHome && monoNow() >= homeLimit))
      return registration;
    std::this_thread::sleep_for(std::min(pollInterval, timeLeft(context)));
    pollInterval = std::min(pollInterval * 2, MaxPollInterval);
  }
}

void reportOnceOutcome(RequestContext &context, const OncePermit &permit,
                       const std::string &outcome, const StoredAnswer &answer) {
  StageTimer timer("finish");
  Daemon &daemon = context.LocalDaemon;
  if (permit.HomeVm.Vm == daemon.Conf.Vm) {
    finishAtHome(daemon, context.Identity, permit.Home.Partition, permit.Number,
                 outcome, answer);
    return;
  }
  sendFinish(daemon, permit.HomeVm, permit.Home.Zone, permit.Home.Partition,
             context.Identity, permit.Number, outcome, answer);
}

} // namespace savorylb
