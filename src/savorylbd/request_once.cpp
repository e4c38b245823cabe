#include "request_once.h"

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

Refusal unreachable(const RequestContext &context) {
  Refusal refusal;
  refusal.Reason = "home-unreachable";
  refusal.Detail = "the VM that keeps this identity cannot be reached";
  // An earlier attempt may have run, unless the caller says that this is the
  // first.
  refusal.NotRun = context.Attempt == 1;
  refusal.Status = refusal.NotRun ? 503 : 504;
  return refusal;
}

Refusal plain(int status, bool notRun, const char *reason, const char *detail) {
  Refusal refusal;
  refusal.Status = status;
  refusal.NotRun = notRun;
  refusal.Reason = reason;
  refusal.Detail = detail;
  return refusal;
}

/// What one reply of the home VM means for the request.
enum class NextMove { Finish, PollAgain, TryHomeAgain };

NextMove judgeReply(const RemoteBegin &reply, OnceStart &start,
                    const RequestContext &context) {
  if (!reply.Reached) {
    start.Refused = unreachable(context);
    return NextMove::TryHomeAgain;
  }
  switch (reply.Begin.Verdict) {
  case OnceVerdict::Go:
    return NextMove::Finish;
  case OnceVerdict::Done:
    if (reply.Begin.Answer.BodyKept)
      start.Answer = reply.Begin.Answer;
    else
      start.Refused = plain(504, false, "answer-not-kept",
                            "it ran, but its response was too large to keep");
    return NextMove::Finish;
  case OnceVerdict::InProgress:
    start.Refused =
        plain(504, false, "in-progress", "an earlier attempt has not ended");
    return NextMove::PollAgain;
  case OnceVerdict::Unknown:
    start.Refused =
        plain(504, false, "outcome-unknown",
              "an earlier attempt may have run; it is not run again");
    return NextMove::Finish;
  case OnceVerdict::Conflict:
    start.Refused = plain(409, true, "identity-conflict",
                          "this identity belongs to another request");
    return NextMove::Finish;
  case OnceVerdict::NotHome:
    start.Refused = unreachable(context);
    return NextMove::TryHomeAgain;
  case OnceVerdict::Refused:
    start.Refused = plain(503, true, "not-replicated",
                          "the identity could not be recorded twice");
    return NextMove::TryHomeAgain;
  }
  return NextMove::Finish;
}

} // namespace

OnceStart startOnce(RequestContext &context) {
  StageTimer timer("once");
  OnceQuery query;
  query.Identity = context.Identity;
  query.Digest = requestDigest(context);
  query.Team = context.Team;
  OnceHome home = homeOf(context.Identity, allZones(context.Current->Conf),
                         homeZones(context));
  query.Partition = home.Partition;
  OnceStart start;
  start.Refused = unreachable(context);
  MonoTime giveUpHome = monoNow() + HomePatience;
  Duration pause = FirstPoll;
  while (true) {
    query.Remaining = timeLeft(context);
    if (query.Remaining == Duration(0))
      return start;
    PeerAddress vm = findHomeVm(context.Owner, home);
    RemoteBegin reply = askHome(context, home, vm, query);
    NextMove move = judgeReply(reply, start, context);
    if (reply.Reached && reply.Begin.Verdict == OnceVerdict::Go)
      start.Permit = OncePermit{home, vm, reply.Begin.Number};
    if (move == NextMove::Finish ||
        (move == NextMove::TryHomeAgain && monoNow() >= giveUpHome))
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
