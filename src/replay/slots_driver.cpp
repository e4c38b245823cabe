// Slot tables and fair queues of two owners of targets whose load reports are
// late or wrong.

#include "drivers.h"
#include "slot_simulation.h"

#include <algorithm>
#include <stdexcept>

namespace savorylb::replay {
namespace {

constexpr int Forwarders = 10;
constexpr Duration ReportInterval = Millis(1000);
constexpr Duration TickInterval = Millis(100);
/// Time a target takes to shed a request.
constexpr Duration ShedTime = Millis(1);
/// A draining target may get no new requests after this time; a shedding target
/// may get at most one probe a second after it.
constexpr Duration WithdrawalTimeLimit = Seconds(3);

/// Adds the time since the last call to the busy and available slot time.
void updateUsage(SlotSimulation &sim) {
  Duration from = std::max(sim.UsageMeasuredAt, sim.MeasureFrom);
  double span = static_cast<double>((sim.Clock.Now - from).count());
  sim.UsageMeasuredAt = sim.Clock.Now;
  if (span <= 0)
    return;
  for (const auto &[name, it] : sim.Targets) {
    bool offers = !it.Draining && !it.Shedding;
    int slots = it.ReportedSlots < 0
                    ? it.Spec.Slots
                    : std::min(it.ReportedSlots, it.Spec.Slots);
    sim.OfferedTime += offers ? span * slots : 0;
    sim.BusyTime += offers ? span * std::min(slots, it.Running) : 0;
  }
}

void serveQueue(SlotSimulation &sim, std::size_t owner);

void sendRelease(SlotSimulation &sim, std::size_t owner, const SlotGrant &grant,
                 const SlotRequest &request, SlotResult result, Duration took) {
  if (sim.CrashedForwarders.count(request.Forwarder) != 0)
    return;
  sim.Clock.after(sim.MessageDelay, [=, &sim] {
    SlotOwner &it = sim.Owners[owner];
    if (!it.Up)
      return;
    releaseSlot(it.Table, grant.Target, grant.Number, result,
                it.clock(sim.Clock.Now));
    if (result == SlotResult::Done)
      observeServiceTime(it.Queue, took);
    serveQueue(sim, owner);
  });
}

/// Checks the start of a request against the actual limits of the target.
void checkStart(SlotSimulation &sim, const SimulatedTarget &it) {
  Duration now = sim.Clock.Now;
  sim.OverSlots += it.Running > it.Spec.Slots ? 1 : 0;
  sim.LateOnDeparting +=
      it.Draining && now > it.DrainingSince + WithdrawalTimeLimit ? 1 : 0;
  Duration warm = now - it.ColdSince;
  if (!it.Cold || warm >= sim.Service.WarmUp)
    return;
  auto limit = 1 + (it.Spec.Slots - 1) * warm / sim.Service.WarmUp;
  sim.OverWarmLimit += it.Running > limit ? 1 : 0;
}

void runOnTarget(SlotSimulation &sim, std::size_t owner, const SlotGrant &grant,
                 const SlotRequest &request) {
  updateUsage(sim);
  SimulatedTarget &it = sim.Targets[grant.Target];
  if (it.Shedding) {
    bool late = sim.Clock.Now > it.SheddingSince + WithdrawalTimeLimit;
    sim.LateSheds += late ? 1 : 0;
    sim.Clock.after(ShedTime, [=, &sim] {
      sendRelease(sim, owner, grant, request, SlotResult::Shed, ShedTime);
    });
    return;
  }
  ++it.Running;
  checkStart(sim, it);
  Duration end =
      std::min(sim.Clock.Now + request.ServiceTime, request.Deadline);
  bool inTime = end < request.Deadline;
  sim.LateSlots += inTime ? 0 : 1;
  Duration took = request.ServiceTime + 2 * sim.MessageDelay;
  sim.Clock.at(end, [=, &sim] {
    updateUsage(sim);
    --sim.Targets[grant.Target].Running;
    if (inTime && sim.Clock.Now >= sim.MeasureFrom)
      ++sim.Teams[request.Team].Served;
    sendRelease(sim, owner, grant, request,
                inTime ? SlotResult::Done : SlotResult::TimedOut, took);
  });
}

bool tryGrant(SlotSimulation &sim, std::size_t owner,
              const SlotRequest &request) {
  SlotOwner &it = sim.Owners[owner];
  auto grant = grantSlot(it.Table, VersionId(), TargetId(),
                         it.clock(request.Deadline), it.clock(sim.Clock.Now));
  if (!grant)
    return false;
  sim.Log.record(sim.Clock.Now, "request " + std::to_string(request.Number) +
                                    " on " + grant->Target.Value);
  // One delay for the grant to reach the forwarding VM and the request the
  // target.
  sim.Clock.after(sim.MessageDelay, [=, &sim] {
    if (sim.CrashedForwarders.count(request.Forwarder) == 0)
      runOnTarget(sim, owner, *grant, request);
  });
  return true;
}

void serveQueue(SlotSimulation &sim, std::size_t owner) {
  SlotOwner &it = sim.Owners[owner];
  MonoTime now = it.clock(sim.Clock.Now);
  for (std::uint64_t ticket : expireRequests(it.Queue, now))
    sim.Waiting[owner].erase(ticket);
  while (freeSlots(it.Table, VersionId(), now) > 0) {
    auto next = dequeueRequest(it.Queue, VersionId(), now);
    if (!next)
      return;
    auto waiting = sim.Waiting[owner].extract(next->Ticket);
    tryGrant(sim, owner, waiting.mapped());
  }
}

/// Checks a refusal without waiting. It is justified when the queue is full, or
/// when the requests ahead, each with the longest service time, would take
/// longer than the time left.
void checkRefusal(SlotSimulation &sim, std::size_t owner, int slots,
                  std::size_t waiting, Duration timeLeft) {
  ++sim.RefusedAtOnce;
  Duration longest = sim.MeanServiceTime * 3 / 2 + 2 * sim.MessageDelay;
  auto ahead = static_cast<std::int64_t>(waiting) + 1;
  bool full =
      waiting >= static_cast<std::size_t>(sim.Owners[owner].Queue.MaxLength);
  if (!full && slots > 0 && longest * ahead / slots <= timeLeft)
    ++sim.UnjustifiedRefusals;
}

void requestSlot(SlotSimulation &sim, std::size_t owner,
                 const SlotRequest &request) {
  SlotOwner &it = sim.Owners[owner];
  if (!it.Up)
    return;
  const SlotTeam &team = sim.Teams[request.Team];
  if (it.Queue.Waiting.empty() && tryGrant(sim, owner, request))
    return recordUnqueuedRequest(it.Queue, team.Name, team.Weight);
  MonoTime now = it.clock(sim.Clock.Now);
  QueuedRequest queued;
  queued.Team = team.Name;
  queued.Weight = team.Weight;
  queued.EnqueuedAt = now;
  // A slot is useful only while the request can still finish in time.
  queued.ExpiresAt = it.clock(request.Deadline - it.Queue.ServiceTime);
  int slots = usableSlots(it.Table, VersionId(), now);
  std::size_t before = it.Queue.Waiting.size();
  Duration timeLeft = queued.ExpiresAt - now;
  EnqueueResult result = enqueueRequest(it.Queue, queued, slots, now);
  sim.Log.record(sim.Clock.Now, "request " + std::to_string(request.Number) +
                                    (result.Accepted ? " queued" : " refused"));
  if (result.Evicted)
    sim.Waiting[owner].erase(*result.Evicted);
  if (result.Accepted)
    sim.Waiting[owner][result.Ticket] = request;
  else
    checkRefusal(sim, owner, slots, before, timeLeft);
}

/// Chooses an owner in proportion to its targets; requests for a crashed owner
/// go to the other one.
std::size_t chooseOwner(SlotSimulation &sim) {
  auto n = sim.Rand.below(static_cast<std::int64_t>(sim.OwnerOf.size()));
  std::size_t owner = std::next(sim.OwnerOf.begin(), n)->second;
  return sim.Owners[owner].Up ? owner : 1 - owner;
}

/// Schedules the next request: one per period of the team's demand, at a random
/// time within it.
void scheduleArrival(SlotSimulation &sim, std::size_t team) {
  SlotTeam &from = sim.Teams[team];
  double next = static_cast<double>(from.Sent++) + sim.Rand.uniform();
  Duration when(static_cast<std::int64_t>(next * 1e6 / from.DemandPerSecond));
  sim.Clock.at(when, [=, &sim] {
    SlotRequest request;
    request.Number = ++sim.Requests;
    request.Team = team;
    request.Forwarder = static_cast<int>(sim.Rand.below(Forwarders));
    while (sim.CrashedForwarders.count(request.Forwarder) != 0)
      request.Forwarder = (request.Forwarder + 1) % Forwarders;
    request.Deadline = sim.Clock.Now + sim.RequestTimeout;
    request.ServiceTime = sim.MeanServiceTime / 2 +
                          Duration(sim.Rand.below(sim.MeanServiceTime.count()));
    std::size_t owner = chooseOwner(sim);
    sim.Clock.after(sim.MessageDelay,
                    [=, &sim] { requestSlot(sim, owner, request); });
    scheduleArrival(sim, team);
  });
}

/// Sends a load report to the target's owner. MeasuredAt is the actual time of
/// measurement, so the network delay adds to the report's age.
void sendReport(SlotSimulation &sim, const TargetId &name) {
  SimulatedTarget &it = sim.Targets[name];
  if (!it.SendsReports)
    return;
  LoadReport sent;
  sent.Slots = it.ReportedSlots < 0 ? it.Spec.Slots : it.ReportedSlots;
  sent.Busy = it.Running;
  sent.Draining = it.Draining;
  sent.Shedding = it.Shedding;
  Duration measuredAt = sim.Clock.Now;
  sim.Clock.after(sim.ReportDelay, [&sim, name, sent, measuredAt] {
    std::size_t owner = sim.OwnerOf[name];
    SlotOwner &to = sim.Owners[owner];
    LoadReport received = sent;
    received.MeasuredAt = to.clock(measuredAt);
    if (!to.Up)
      return;
    applyLoadReport(to.Table, name, received, to.clock(sim.Clock.Now));
    serveQueue(sim, owner);
  });
}

void assignTarget(SlotSimulation &sim, std::size_t owner,
                  const TargetId &name) {
  SlotOwner &to = sim.Owners[owner];
  sim.OwnerOf[name] = owner;
  adoptTarget(to.Table, sim.Targets[name].Spec, true, to.clock(sim.Clock.Now));
  serveQueue(sim, owner);
}

/// Moves all targets of an owner to the other one.
/// \param after delay until the other one owns them.
void moveTargets(SlotSimulation &sim, std::size_t from, Duration after) {
  std::vector<TargetId> moved;
  for (const auto &[name, owner] : sim.OwnerOf)
    if (owner == from)
      moved.push_back(name);
  for (const TargetId &it : moved)
    dropTarget(sim.Owners[from].Table, it);
  sim.Clock.after(after, [&sim, from, moved] {
    for (const TargetId &it : moved)
      assignTarget(sim, 1 - from, it);
  });
}

void applyEvent(SlotSimulation &sim, const TraceEvent &event) {
  updateUsage(sim);
  const Json::Value &fields = event.Fields;
  auto owner = static_cast<std::size_t>(fields.get("owner", 0).asUInt());
  if (event.Kind == "crash_owner") {
    sim.Owners[owner].Up = false;
    return moveTargets(sim, owner, millisOf(fields, "takeover_ms", 3500));
  }
  if (event.Kind == "hand_off")
    return moveTargets(sim, owner, millisOf(fields, "write_ms", 5));
  if (event.Kind == "crash_forwarder") {
    sim.CrashedForwarders.insert(fields["forwarder"].asInt());
    return;
  }
  auto found = sim.Targets.find(TargetId(fields["target"].asString()));
  if (found == sim.Targets.end())
    throw std::runtime_error("unknown target in " + event.Kind);
  SimulatedTarget &it = found->second;
  if (event.Kind == "drain") {
    it.Draining = true;
    it.DrainingSince = sim.Clock.Now;
  } else if (event.Kind == "shed") {
    it.Shedding = true;
    it.SheddingSince = sim.Clock.Now;
  } else if (event.Kind == "claim") {
    it.ReportedSlots = fields["slots"].asInt();
  } else if (event.Kind == "silence") {
    it.SendsReports = false;
  } else {
    throw std::runtime_error("unknown event " + event.Kind);
  }
}

void makeTargets(SlotSimulation &sim, const Json::Value &params) {
  int cold = params.get("cold_targets", 0).asInt();
  for (int n = 0; n < params["targets"].asInt(); ++n) {
    SimulatedTarget it;
    it.Spec.Name = TargetId("target-" + std::to_string(n));
    it.Spec.Slots = params["slots"].asInt();
    it.Cold = n < cold;
    auto owner = static_cast<std::size_t>(n % 2);
    SlotOwner &to = sim.Owners[owner];
    // Warm targets were adopted long enough before the trace begins.
    Duration since = it.Cold ? Duration(0) : -sim.Service.WarmUp;
    adoptTarget(to.Table, it.Spec, false, to.clock(since));
    sim.OwnerOf[it.Spec.Name] = owner;
    sim.Targets[it.Spec.Name] = it;
  }
}

void makeTeams(SlotSimulation &sim, const Json::Value &params) {
  double slots = params["targets"].asDouble() * params["slots"].asDouble();
  double held =
      static_cast<double>((sim.MeanServiceTime + 2 * sim.MessageDelay).count());
  double capacity = slots * 1e6 / held;
  int weights = 0;
  for (const Json::Value &it : params["teams"])
    weights += it["weight"].asInt();
  for (const Json::Value &it : params["teams"]) {
    SlotTeam team;
    team.Name = TeamId(it["name"].asString());
    team.Weight = it["weight"].asInt();
    team.SharePerSecond = capacity * team.Weight / weights;
    team.DemandPerSecond = team.SharePerSecond * it["load"].asDouble();
    sim.Teams.push_back(team);
  }
}

Measurements measure(const SlotSimulation &sim, Duration length) {
  Measurements measured;
  double seconds =
      static_cast<double>((length - sim.MeasureFrom).count()) / 1e6;
  double worst = 1;
  for (const SlotTeam &it : sim.Teams)
    worst =
        std::min(worst, static_cast<double>(it.Served) / seconds /
                            std::min(it.DemandPerSecond, it.SharePerSecond));
  measured["over_slots"] = static_cast<double>(sim.OverSlots);
  measured["over_warm_limit"] = static_cast<double>(sim.OverWarmLimit);
  measured["late_on_departing"] = static_cast<double>(sim.LateOnDeparting);
  measured["late_sheds"] = static_cast<double>(sim.LateSheds);
  measured["unjustified_refusals"] =
      static_cast<double>(sim.UnjustifiedRefusals);
  measured["late_slots"] = static_cast<double>(sim.LateSlots);
  measured["refused_at_once"] = static_cast<double>(sim.RefusedAtOnce);
  measured["busy_pct"] = 100 * sim.BusyTime / sim.OfferedTime;
  measured["worst_served_pct"] = 100 * worst;
  return measured;
}

} // namespace

Measurements replaySlots(const Trace &trace, DecisionLog &log) {
  const Json::Value &params = trace.Parameters;
  SlotSimulation sim(trace.Seed, log);
  sim.Service.MaxTime = millisOf(params, "max_time_ms", 2000);
  sim.Service.WarmUp = millisOf(params, "warm_up_ms", 2000);
  sim.MessageDelay = millisOf(params, "message_delay_ms", 1);
  sim.MeanServiceTime = millisOf(params, "mean_time_ms", 20);
  sim.RequestTimeout = millisOf(params, "deadline_ms", 200);
  sim.ReportDelay = millisOf(params, "report_delay_ms", 20);
  sim.MeasureFrom = millisOf(params, "measure_from_ms", 2000);
  sim.Owners.resize(2);
  sim.Waiting.resize(2);
  for (SlotOwner &it : sim.Owners) {
    it.ClockOffset = Duration(10'000'000 + sim.Rand.below(1'000'000'000));
    it.Table.Service = sim.Service;
    it.Queue.MaxLength = params.get("queue_length", 64).asInt();
  }
  makeTargets(sim, params);
  makeTeams(sim, params);
  for (std::size_t n = 0; n < sim.Teams.size(); ++n)
    scheduleArrival(sim, n);
  for (const auto &[name, target] : sim.Targets)
    sim.Clock.every(Duration(sim.Rand.below(ReportInterval.count())),
                    ReportInterval,
                    [&sim, name = name] { sendReport(sim, name); });
  for (std::size_t n = 0; n < sim.Owners.size(); ++n)
    sim.Clock.every(TickInterval, TickInterval, [&sim, n] {
      if (sim.Owners[n].Up)
        serveQueue(sim, n);
    });
  for (const TraceEvent &event : trace.Events)
    sim.Clock.at(event.At, [&sim, &event] { applyEvent(sim, event); });
  sim.Clock.runUntil(trace.Length);
  updateUsage(sim);
  return measure(sim, trace.Length);
}

} // namespace savorylb::replay
