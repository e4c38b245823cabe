#include "usage_reporter.h"

#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/hash.h"
#include "savorylb/metrics.h"
#include "usage_protocol.h"

#include <algorithm>
#include <utility>

namespace savorylb {
namespace {

/// Interval at which counts are passed on; bounds what a killed VM takes with
/// it.
constexpr Duration CountsInterval = Millis(1000);
constexpr Duration StoreTimeout = Millis(900);
constexpr Duration RecordRetryPause = Millis(300);
/// Longest time that a report may take.
constexpr Duration ReportTimeout = Millis(1200);
/// A report is not sent with a shorter timeout, near the end of the lease.
constexpr Duration MinReportTimeout = Millis(200);
/// Part of the lease that is left for connecting. The timeout is checked
/// against the lease again before the report is written, and would fail without
/// it.
constexpr Duration ConnectReserve = Millis(100);

DutyState initialDuty(const VmSettings &settings, const SteeringState &state) {
  DutyState duty;
  duty.Self = settings.Vm;
  duty.StartId = state.Fleet.Self.StartId;
  duty.Limits = {settings.Duty.Lease, settings.Duty.LeaseMargin,
                 settings.Duty.Fencing};
  // An earlier process of this VM may have held the duty.
  duty.NoClaimBefore = monoNow() + duty.Limits.Lease;
  return duty;
}

} // namespace

UsageReporter::UsageReporter(asio::io_context &io, const VmSettings &settings,
                             SteeringState &state, PeerLink &link)
    : State(state), Link(link), Settings(settings),
      Keeper(io, settings.StoreAddress, platform::UsageDutyKey,
             initialDuty(settings, state), settings.MinLease),
      Store(io.get_executor(), settings.StoreAddress),
      PlatformApi(io.get_executor(), settings.Duty.PlatformApiAddress) {
  Schedule.Length = settings.Duty.UsageWindow;
  Schedule.Due = settings.Duty.UsageDue;
  State.Usage->Counts.Length = settings.Duty.UsageWindow;
  Keeper.reportChanges([this] { onGained(); }, [this] { onLost(); });
}

void UsageReporter::onEra(StoreEra era) {
  if (EraSeenAt && era <= Era)
    return;
  Era = era;
  EraSeenAt = fleetTime(State.Usage->Clock, monoNow());
}

void UsageReporter::onGained() { readRecord(); }

void UsageReporter::onLost() {
  Schedule.Record.reset();
  Store.close();
  PlatformApi.close();
  StoreBusy = ApiBusy = false;
}

int UsageReporter::rank() const {
  auto weight = [](const VmId &vm) {
    return stableHash(vm.Value, stableHash(platform::UsageDutyKey));
  };
  const VmId &self = State.Fleet.Self.Vm;
  int before = 0;
  for (const VmEntry &it : liveVms(State.Fleet, monoNow()))
    before += it.Vm != self && weight(it.Vm) > weight(self);
  return before;
}

void UsageReporter::tick() {
  MonoTime now = monoNow();
  updateFleetClock(State.Usage->Clock, wallNow(), now);
  Keeper.tick(Keeper.duty().Known || Keeper.duty().Held ? 0 : rank());
  if (now - CountsSentAt >= CountsInterval)
    sendCounts();
  if (Keeper.duty().Held)
    advance();
}

void UsageReporter::sendCounts() {
  MonoTime now = monoNow();
  CountsSentAt = now;
  if (!Keeper.duty().Known)
    return;
  const VmId &holder = Keeper.duty().Known->Vm;
  if (holder != CountsSentTo)
    CountsSent = CountsRepeated = 0;
  const VmEntry &self = State.Fleet.Self;
  UsageReport report =
      makeUsageReport(State.Usage->Counts, self.Vm, self.StartId, CountsSent);
  if (report.Windows.empty())
    return;
  if (holder == self.Vm)
    applyUsageReport(State.Usage->Collection, report);
  else if (!Link.sendUsage(holder, report))
    return;
  CountsSentTo = holder;
  // A datagram may be lost, so the newest windows are sent once more.
  CountsSent = std::exchange(CountsRepeated, report.Sequence);
}

void UsageReporter::readRecord() {
  if (StoreBusy || monoNow() < NextReadAt)
    return;
  StoreBusy = true;
  NextReadAt = monoNow() + RecordRetryPause;
  recordStoreCall(StoreCall::List);
  Store.call(platform::getRequest(platform::SettledUsageKey), StoreTimeout,
             [this](const Result<HttpMessage> &response) {
               StoreBusy = false;
               if (!response || !Keeper.duty().Held)
                 return;
               auto item = platform::readItem(response.value());
               if (!item && item.error().Code != ErrorCode::NotFound)
                 return;
               std::optional<UsageRecord> record;
               RecordAt =
                   StorePosition(Keeper.duty().Held->Position.Era, Revision(0));
               if (item) {
                 RecordAt = item.value().ModRevision;
                 auto read = platform::readUsageRecord(item.value().Value);
                 if (!read) {
                   // Without the record, a window may be reported with other
                   // counts than before.
                   logEvent(EventCode::DocumentRejected,
                            {{"key", std::string(platform::SettledUsageKey)},
                             {"findings", read.error().Message}});
                   return;
                 }
                 record = read.value();
               }
               onEra(platform::readStoreEra(response.value()));
               startSchedule(Schedule, record, Era, *EraSeenAt);
             });
}

void UsageReporter::advance() {
  MonoTime now = monoNow();
  if (!Schedule.Record) {
    readRecord();
    return;
  }
  if (StoreBusy || ApiBusy || !mayAct(Keeper.duty(), now))
    return;
  UsageStep step = nextUsageStep(Schedule, State.Usage->Collection,
                                 fleetTime(State.Usage->Clock, now), now);
  if (step.What == UsageStep::Kind::Settle)
    settle(step);
  else if (step.What == UsageStep::Kind::Send)
    send(step);
}

void UsageReporter::settle(const UsageStep &step) {
  UsageRecord record = withWindow(*Schedule.Record, step.Window, step.Counts);
  platform::StorePut put;
  put.Key = platform::SettledUsageKey;
  put.Value = platform::writeUsageRecord(record);
  put.Conditional = true;
  put.ExpectedRevision = RecordAt;
  // A write that the store executes after another VM has claimed the duty has
  // no effect.
  put.Preconditions = {{platform::UsageDutyKey, Keeper.duty().Held->Position}};
  StoreBusy = true;
  recordStoreCall(StoreCall::Write);
  Store.call(
      platform::putRequest(put), StoreTimeout,
      [this, record, step](const Result<HttpMessage> &response) {
        StoreBusy = false;
        if (!Keeper.duty().Held)
          return;
        auto position = response ? platform::readPutRevision(response.value())
                                 : Result<StorePosition>(failure(
                                       ErrorCode::Unknown, "no answer"));
        if (!position) {
          // The record is read again, which shows whether it was
          // written.
          Schedule.Record.reset();
          return;
        }
        RecordAt = position.value();
        Schedule.Record = record;
        std::int64_t requests = 0;
        for (const auto &[team, n] : step.Counts)
          requests += n;
        logEvent(EventCode::UsageSettled,
                 {{"window", step.Window.Value},
                  {"requests", requests},
                  {"teams", static_cast<std::int64_t>(step.Counts.size())},
                  {"token", fencingToken(Keeper.duty().Held->Position).Value}});
        advance();
      });
}

void UsageReporter::send(const UsageStep &step) {
  const DutyState &duty = Keeper.duty();
  Duration limit =
      std::min(ReportTimeout, callLimit(duty, monoNow()) - ConnectReserve);
  if (limit < MinReportTimeout)
    return;
  StorePosition claimed = duty.Held->Position;
  platform::UsageCall call{duty.Self, fencingToken(claimed), step.Window,
                           step.Counts};
  ApiBusy = true;
  if (Schedule.Failures > 0)
    incrementCounter("usage_calls_repeated");
  PlatformApi.call(
      platform::usageRequest(call), limit,
      [this, step, claimed](const Result<HttpMessage> &response) {
        ApiBusy = false;
        if (Keeper.duty().Held && Keeper.duty().Held->Position == claimed)
          onAnswer(step.Window, response);
      },
      [this, claimed, limit] {
        const DutyState &held = Keeper.duty();
        return held.Held && held.Held->Position == claimed &&
               callLimit(held, monoNow()) >= limit;
      });
}

void UsageReporter::onAnswer(UsageWindow window,
                             const Result<HttpMessage> &response) {
  MonoTime now = monoNow();
  UsageAnswer answer = platform::readUsageAnswer(response);
  std::int64_t token = fencingToken(Keeper.duty().Held->Position).Value;
  recordUsageAnswer(Schedule, window, answer, Settings.Duty.CallsPerSecond,
                    Random, now);
  if (answer == UsageAnswer::Accepted) {
    bool late = isLate(Schedule, window, fleetTime(State.Usage->Clock, now));
    incrementCounter("usage_windows_reported");
    if (late)
      incrementCounter("usage_windows_late");
    logEvent(EventCode::UsageAccepted,
             {{"window", window.Value}, {"token", token}, {"late", late}});
    return;
  }
  bool refused = answer != UsageAnswer::Unknown;
  if (refused)
    incrementCounter("usage_calls_refused");
  logEvent(EventCode::UsageCallFailed,
           {{"window", window.Value},
            {"token", token},
            {"reason",
             std::string(answer == UsageAnswer::TokenRefused ? "token-refused"
                         : refused                           ? "refused"
                                                             : "no-answer")}});
  if (answer == UsageAnswer::TokenRefused)
    Keeper.refuseToken();
}

} // namespace savorylb
