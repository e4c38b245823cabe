// Slot tables and fair queues of two owners against targets whose reports lag
// or lie.

#include "drivers.h"
#include "slot_world.h"

#include <algorithm>
#include <stdexcept>

namespace savorylb::replay {
namespace {

constexpr int Forwarders = 10;
constexpr Duration ReportInterval = Millis(1000);
constexpr Duration TickInterval = Millis(100);
/// Time a target takes to shed a request.
constexpr Duration ShedTime = Millis(1);
/// P11: a departing target gets nothing new after this; a target that sheds is
/// out after the same time, but for one probe a second.
constexpr Duration DepartingLimit = Seconds(3);

/// Adds the time since the last change to the busy and the offered slots.
void passTime(SlotWorld &world) {
  Duration from = std::max(world.MeasuredAt, world.MeasureFrom);
  double span = static_cast<double>((world.Time.Now - from).count());
  world.MeasuredAt = world.Time.Now;
  if (span <= 0)
    return;
  for (const auto &[name, it] : world.Targets) {
    bool offers = !it.Draining && !it.Shedding;
    int slots = it.ClaimedSlots < 0 ? it.Spec.Slots
                                    : std::min(it.ClaimedSlots, it.Spec.Slots);
    world.OfferedTime += offers ? span * slots : 0;
    world.BusyTime += offers ? span * std::min(slots, it.Running) : 0;
  }
}

void serveQueue(SlotWorld &world, std::size_t owner);

void release(SlotWorld &world, std::size_t owner, const SlotGrant &grant,
             const SlotRequest &request, SlotResult result, Duration took) {
  if (world.DeadForwarders.count(request.Forwarder) != 0)
    return;
  world.Time.after(world.MessageDelay, [=, &world] {
    SlotOwner &it = world.Owners[owner];
    if (!it.Up)
      return;
    releaseSlot(it.Table, grant.Target, grant.Number, result,
                it.clock(world.Time.Now));
    if (result == SlotResult::Done)
      observeServiceTime(it.Queue, took);
    serveQueue(world, owner);
  });
}

/// Checks a start against what the target really takes.
void checkStart(SlotWorld &world, const TrueTarget &it) {
  Duration now = world.Time.Now;
  world.OverSlots += it.Running > it.Spec.Slots ? 1 : 0;
  world.LateOnDeparting +=
      it.Draining && now > it.DrainingSince + DepartingLimit ? 1 : 0;
  Duration warm = now - it.ColdSince;
  if (!it.Cold || warm >= world.Service.WarmUp)
    return;
  auto limit = 1 + (it.Spec.Slots - 1) * warm / world.Service.WarmUp;
  world.OverWarmLimit += it.Running > limit ? 1 : 0;
}

void runOnTarget(SlotWorld &world, std::size_t owner, const SlotGrant &grant,
                 const SlotRequest &request) {
  passTime(world);
  TrueTarget &it = world.Targets[grant.Target];
  if (it.Shedding) {
    bool late = world.Time.Now > it.SheddingSince + DepartingLimit;
    world.LateSheds += late ? 1 : 0;
    world.Time.after(ShedTime, [=, &world] {
      release(world, owner, grant, request, SlotResult::Shed, ShedTime);
    });
    return;
  }
  ++it.Running;
  checkStart(world, it);
  Duration end = std::min(world.Time.Now + request.Takes, request.Deadline);
  bool inTime = end < request.Deadline;
  world.LateSlots += inTime ? 0 : 1;
  Duration took = request.Takes + 2 * world.MessageDelay;
  world.Time.at(end, [=, &world] {
    passTime(world);
    --world.Targets[grant.Target].Running;
    if (inTime && world.Time.Now >= world.MeasureFrom)
      ++world.Teams[request.Team].Served;
    release(world, owner, grant, request,
            inTime ? SlotResult::Done : SlotResult::TimedOut, took);
  });
}

bool tryGrant(SlotWorld &world, std::size_t owner, const SlotRequest &request) {
  SlotOwner &it = world.Owners[owner];
  auto grant = grantSlot(it.Table, VersionId(), TargetId(),
                         it.clock(request.Deadline), it.clock(world.Time.Now));
  if (!grant)
    return false;
  world.Log.note(world.Time.Now, "request " + std::to_string(request.Number) +
                                     " on " + grant->Target.Value);
  // The answer to the forwarding VM and the request to the target.
  world.Time.after(world.MessageDelay, [=, &world] {
    if (world.DeadForwarders.count(request.Forwarder) == 0)
      runOnTarget(world, owner, *grant, request);
  });
  return true;
}

void serveQueue(SlotWorld &world, std::size_t owner) {
  SlotOwner &it = world.Owners[owner];
  MonoTime now = it.clock(world.Time.Now);
  for (std::uint64_t ticket : expireRequests(it.Queue, now))
    world.Waiting[owner].erase(ticket);
  while (freeSlots(it.Table, VersionId(), now) > 0) {
    auto next = dequeueRequest(it.Queue, VersionId(), now);
    if (!next)
      return;
    auto waiting = world.Waiting[owner].extract(next->Ticket);
    tryGrant(world, owner, waiting.mapped());
  }
}

/// A request refused at once was refused rightly when the queue was full, or
/// when all who wait, each with the longest service time, use up its patience.
void checkRefusal(SlotWorld &world, std::size_t owner, int slots,
                  std::size_t waiting, Duration patience) {
  ++world.RefusedAtOnce;
  Duration longest = world.MeanTime * 3 / 2 + 2 * world.MessageDelay;
  auto ahead = static_cast<std::int64_t>(waiting) + 1;
  bool full =
      waiting >= static_cast<std::size_t>(world.Owners[owner].Queue.MaxLength);
  if (!full && slots > 0 && longest * ahead / slots <= patience)
    ++world.UnjustifiedRefusals;
}

void askOwner(SlotWorld &world, std::size_t owner, const SlotRequest &request) {
  SlotOwner &it = world.Owners[owner];
  if (!it.Up)
    return;
  const SlotTeam &team = world.Teams[request.Team];
  if (it.Queue.Waiting.empty() && tryGrant(world, owner, request))
    return recordUnqueuedRequest(it.Queue, team.Name, team.Weight);
  MonoTime now = it.clock(world.Time.Now);
  QueuedRequest queued;
  queued.Team = team.Name;
  queued.Weight = team.Weight;
  queued.EnqueuedAt = now;
  // A slot is of use while the request can still run in time.
  queued.ExpiresAt = it.clock(request.Deadline - it.Queue.ServiceTime);
  int slots = usableSlots(it.Table, VersionId(), now);
  std::size_t before = it.Queue.Waiting.size();
  Duration patience = queued.ExpiresAt - now;
  EnqueueResult result = enqueueRequest(it.Queue, queued, slots, now);
  world.Log.note(world.Time.Now,
                 "request " + std::to_string(request.Number) +
                     (result.Accepted ? " queued" : " refused"));
  if (result.Evicted)
    world.Waiting[owner].erase(*result.Evicted);
  if (result.Accepted)
    world.Waiting[owner][result.Ticket] = request;
  else
    checkRefusal(world, owner, slots, before, patience);
}

/// Owners get requests in proportion to their targets, as far as VMs know of
/// their death.
std::size_t chooseOwner(SlotWorld &world) {
  auto n = world.Rand.below(static_cast<std::int64_t>(world.OwnerOf.size()));
  std::size_t owner = std::next(world.OwnerOf.begin(), n)->second;
  return world.Owners[owner].Up ? owner : 1 - owner;
}

/// One arrival in each period, at a random place in it.
void scheduleArrival(SlotWorld &world, std::size_t team) {
  SlotTeam &from = world.Teams[team];
  double next = static_cast<double>(from.Sent++) + world.Rand.unit();
  Duration when(static_cast<std::int64_t>(next * 1e6 / from.PerSecond));
  world.Time.at(when, [=, &world] {
    SlotRequest request;
    request.Number = ++world.Requests;
    request.Team = team;
    request.Forwarder = static_cast<int>(world.Rand.below(Forwarders));
    while (world.DeadForwarders.count(request.Forwarder) != 0)
      request.Forwarder = (request.Forwarder + 1) % Forwarders;
    request.Deadline = world.Time.Now + world.Patience;
    request.Takes =
        world.MeanTime / 2 + Duration(world.Rand.below(world.MeanTime.count()));
    std::size_t owner = chooseOwner(world);
    world.Time.after(world.MessageDelay,
                     [=, &world] { askOwner(world, owner, request); });
    scheduleArrival(world, team);
  });
}

/// The target states the true age of its figures; the network adds to it.
void report(SlotWorld &world, const TargetId &name) {
  TrueTarget &it = world.Targets[name];
  if (!it.Reports)
    return;
  LoadReport sent;
  sent.Slots = it.ClaimedSlots < 0 ? it.Spec.Slots : it.ClaimedSlots;
  sent.Busy = it.Running;
  sent.Draining = it.Draining;
  sent.Shedding = it.Shedding;
  Duration measuredAt = world.Time.Now;
  world.Time.after(world.ReportDelay, [&world, name, sent, measuredAt] {
    std::size_t owner = world.OwnerOf[name];
    SlotOwner &to = world.Owners[owner];
    LoadReport received = sent;
    received.MeasuredAt = to.clock(measuredAt);
    if (!to.Up)
      return;
    applyLoadReport(to.Table, name, received, to.clock(world.Time.Now));
    serveQueue(world, owner);
  });
}

void adopt(SlotWorld &world, std::size_t owner, const TargetId &name) {
  SlotOwner &to = world.Owners[owner];
  world.OwnerOf[name] = owner;
  adoptTarget(to.Table, world.Targets[name].Spec, true,
              to.clock(world.Time.Now));
  serveQueue(world, owner);
}

/// Moves all targets of an owner to the other one after a time.
void moveTargets(SlotWorld &world, std::size_t from, Duration after) {
  std::vector<TargetId> moved;
  for (const auto &[name, owner] : world.OwnerOf)
    if (owner == from)
      moved.push_back(name);
  for (const TargetId &it : moved)
    dropTarget(world.Owners[from].Table, it);
  world.Time.after(after, [&world, from, moved] {
    for (const TargetId &it : moved)
      adopt(world, 1 - from, it);
  });
}

void runEvent(SlotWorld &world, const TraceEvent &event) {
  passTime(world);
  const Json::Value &fields = event.Fields;
  auto owner = static_cast<std::size_t>(fields.get("owner", 0).asUInt());
  if (event.What == "crash_owner") {
    world.Owners[owner].Up = false;
    return moveTargets(world, owner, millisOf(fields, "takeover_ms", 3500));
  }
  if (event.What == "hand_off")
    return moveTargets(world, owner, millisOf(fields, "write_ms", 5));
  if (event.What == "crash_forwarder") {
    world.DeadForwarders.insert(fields["forwarder"].asInt());
    return;
  }
  auto found = world.Targets.find(TargetId(fields["target"].asString()));
  if (found == world.Targets.end())
    throw std::runtime_error("unknown target in " + event.What);
  TrueTarget &it = found->second;
  if (event.What == "drain") {
    it.Draining = true;
    it.DrainingSince = world.Time.Now;
  } else if (event.What == "shed") {
    it.Shedding = true;
    it.SheddingSince = world.Time.Now;
  } else if (event.What == "claim") {
    it.ClaimedSlots = fields["slots"].asInt();
  } else if (event.What == "silence") {
    it.Reports = false;
  } else {
    throw std::runtime_error("unknown event " + event.What);
  }
}

void makeTargets(SlotWorld &world, const Json::Value &given) {
  int cold = given.get("cold_targets", 0).asInt();
  for (int n = 0; n < given["targets"].asInt(); ++n) {
    TrueTarget it;
    it.Spec.Name = TargetId("target-" + std::to_string(n));
    it.Spec.Slots = given["slots"].asInt();
    it.Cold = n < cold;
    auto owner = static_cast<std::size_t>(n % 2);
    SlotOwner &to = world.Owners[owner];
    // Warm targets were there before the trace begins.
    Duration since = it.Cold ? Duration(0) : -world.Service.WarmUp;
    adoptTarget(to.Table, it.Spec, false, to.clock(since));
    world.OwnerOf[it.Spec.Name] = owner;
    world.Targets[it.Spec.Name] = it;
  }
}

void makeTeams(SlotWorld &world, const Json::Value &given) {
  double slots = given["targets"].asDouble() * given["slots"].asDouble();
  double held =
      static_cast<double>((world.MeanTime + 2 * world.MessageDelay).count());
  double capacity = slots * 1e6 / held;
  int weights = 0;
  for (const Json::Value &it : given["teams"])
    weights += it["weight"].asInt();
  for (const Json::Value &it : given["teams"]) {
    SlotTeam team;
    team.Name = TeamId(it["name"].asString());
    team.Weight = it["weight"].asInt();
    team.SharePerSecond = capacity * team.Weight / weights;
    team.PerSecond = team.SharePerSecond * it["load"].asDouble();
    world.Teams.push_back(team);
  }
}

Figures measure(const SlotWorld &world, Duration length) {
  Figures figures;
  double seconds =
      static_cast<double>((length - world.MeasureFrom).count()) / 1e6;
  double worst = 1;
  for (const SlotTeam &it : world.Teams)
    worst = std::min(worst, static_cast<double>(it.Served) / seconds /
                                std::min(it.PerSecond, it.SharePerSecond));
  figures["over_slots"] = static_cast<double>(world.OverSlots);
  figures["over_warm_limit"] = static_cast<double>(world.OverWarmLimit);
  figures["late_on_departing"] = static_cast<double>(world.LateOnDeparting);
  figures["late_sheds"] = static_cast<double>(world.LateSheds);
  figures["unjustified_refusals"] =
      static_cast<double>(world.UnjustifiedRefusals);
  figures["late_slots"] = static_cast<double>(world.LateSlots);
  figures["refused_at_once"] = static_cast<double>(world.RefusedAtOnce);
  figures["busy_pct"] = 100 * world.BusyTime / world.OfferedTime;
  figures["worst_served_pct"] = 100 * worst;
  return figures;
}

} // namespace

Figures replaySlots(const Trace &trace, DecisionLog &log) {
  const Json::Value &given = trace.Parameters;
  SlotWorld world(trace.Seed, log);
  world.Service.MaxTime = millisOf(given, "max_time_ms", 2000);
  world.Service.WarmUp = millisOf(given, "warm_up_ms", 2000);
  world.MessageDelay = millisOf(given, "message_delay_ms", 1);
  world.MeanTime = millisOf(given, "mean_time_ms", 20);
  world.Patience = millisOf(given, "deadline_ms", 200);
  world.ReportDelay = millisOf(given, "report_delay_ms", 20);
  world.MeasureFrom = millisOf(given, "measure_from_ms", 2000);
  world.Owners.resize(2);
  world.Waiting.resize(2);
  for (SlotOwner &it : world.Owners) {
    it.Offset = Duration(10'000'000 + world.Rand.below(1'000'000'000));
    it.Table.Service = world.Service;
    it.Queue.MaxLength = given.get("queue_length", 64).asInt();
  }
  makeTargets(world, given);
  makeTeams(world, given);
  for (std::size_t n = 0; n < world.Teams.size(); ++n)
    scheduleArrival(world, n);
  for (const auto &[name, target] : world.Targets)
    world.Time.every(Duration(world.Rand.below(ReportInterval.count())),
                     ReportInterval,
                     [&world, name = name] { report(world, name); });
  for (std::size_t n = 0; n < world.Owners.size(); ++n)
    world.Time.every(TickInterval, TickInterval, [&world, n] {
      if (world.Owners[n].Up)
        serveQueue(world, n);
    });
  for (const TraceEvent &event : trace.Events)
    world.Time.at(event.At, [&world, &event] { runEvent(world, event); });
  world.Time.runUntil(trace.Length);
  passTime(world);
  return measure(world, trace.Length);
}

} // namespace savorylb::replay
