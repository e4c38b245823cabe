#include "request_once.h"

#include "once_reply.h"
#include "savorylb/clock.h"
#include "savorylb/digest.h"
#include "stage_timer.h"

#include <algorithm>
#include <thread>

namespace savorylb {
namespace {

constexpr Duration FirstPoll = Millis(10);
constexpr Duration LongestPoll = Millis(200);
/// How long a handoff or takeover of the home is waited for.
constexpr Duration HomePatience = Millis(800);

std::vector<ZoneId> homeZones(const RequestContext &context) {
  const Config &config = context.Current->Conf;
  if (!context.TeamRegions.empty())
    for (const RegionSpec &it : config.Regions)
      if (it.Name == context.TeamRegions.front())
        return it.Zones;
  return allZones(config);
}

std::string requestDigest(const RequestContext &context) {
  return sha256Hex(context.Team.Value + '\n' + context.Method + '\n' +
                   context.Path + '\n' + std::to_string(context.BodyLength) +
                   '\n' + context.SmallBody);
}

/// \returns the VM that owns the home partition as far as this VM knows.
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

RemoteBegin askHome(RequestContext &context, const OnceHome &home,
                    const PeerAddress &vm, const OnceQuery &query) {
  Daemon &daemon = context.Owner;
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

OnceStart startOnce(RequestContext &context) {
  StageTimer timer("once");
  OnceQuery query;
  query.Identity = context.Identity;
  query.Digest = requestDigest(context);
  query.Team = context.Team;
  OnceHome home = locateHome(context.Identity, allZones(context.Current->Conf),
                             homeZones(context));
  query.Partition = home.Partition;
  OnceStart start;
  start.Refused = homeUnreachable(context, false);
  bool seenInProgress = false;
  MonoTime giveUpHome = monoNow() + HomePatience;
  Duration pause = FirstPoll;
  while (true) {
    query.Remaining = timeLeft(context);
    if (query.Remaining == Duration(0))
      return start;
    PeerAddress vm = findHomeVm(context.Owner, home);
    RemoteBegin reply = askHome(context, home, vm, query);
    OnceMove move = judgeReply(reply, start, context, seenInProgress);
    if (reply.Reached && reply.Begin.Verdict == OnceVerdict::Go)
      start.Permit = OncePermit{home, vm, reply.Begin.Number};
    if (move == OnceMove::Finish ||
        (move == OnceMove::TryHomeAgain && monoNow() >= giveUpHome))
      return start;
    std::this_thread::sleep_for(std::min(pause, timeLeft(context)));
    pause = std::min(pause * 2, LongestPoll);
  }
}

void endOnce(RequestContext &context, const OncePermit &permit,
             const std::string &outcome, const StoredAnswer &answer) {
  StageTimer timer("finish");
  Daemon &daemon = context.Owner;
  if (permit.HomeVm.Vm == daemon.Conf.Vm) {
    finishAtHome(daemon, context.Identity, permit.Home.Partition, permit.Number,
                 outcome, answer);
    return;
  }
  sendFinish(daemon, permit.HomeVm, permit.Home.Zone, permit.Home.Partition,
             context.Identity, permit.Number, outcome, answer);
}

} // namespace savorylb
