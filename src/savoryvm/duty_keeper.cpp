#include "duty_keeper.h"

#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"
#include "usage_protocol.h"

#include <algorithm>

namespace savorylb {
namespace {

constexpr Duration CallTimeout = Millis(800);
constexpr Duration RetryPause = Millis(300);

} // namespace

DutyKeeper::DutyKeeper(asio::io_context &io, const std::string &storeAddress,
                       std::string key, const DutyState &duty, Millis minLease)
    : Channel(io.get_executor(), storeAddress), Key(std::move(key)), Duty(duty),
      Ttl(std::max(Duration(minLease), duty.Limits.Lease)) {}

void DutyKeeper::call(const HttpMessage &request,
                      const HttpChannel::Done &done) {
  Busy = true;
  Channel.call(request, CallTimeout,
               [this, done](const Result<HttpMessage> &response) {
                 Busy = false;
                 noteEra(response);
                 done(response);
               });
}

void DutyKeeper::noteEra(const Result<HttpMessage> &response) {
  if (!response)
    return;
  Era = std::max(Era, platform::readStoreEra(response.value()));
  if (Duty.Held && Era > Duty.Held->Position.Era)
    lose(DutyLoss::NewEra);
}

void DutyKeeper::onListed() {
  if (!Duty.Listed)
    noteClaim(Duty, std::nullopt, StorePosition(), monoNow());
}

void DutyKeeper::onChange(const platform::StoreItem &item) {
  std::optional<DutyClaim> claim;
  if (!item.Removed) {
    auto read = platform::readDutyClaim(item.Value, item.ModRevision);
    // An unreadable claim is one of an unknown holder.
    claim = read ? read.value() : DutyClaim{VmId("?"), "", item.ModRevision};
  }
  auto held = Duty.Held;
  auto reason = noteClaim(Duty, claim, item.ModRevision, monoNow());
  if (!reason)
    return;
  Duty.Held = held; // lose() records the loss.
  lose(*reason);
}

void DutyKeeper::lose(DutyLoss reason) {
  if (!Duty.Held)
    return;
  logEvent(EventCode::DutyLost,
           {{"duty", Key},
            {"token", fencingToken(Duty.Held->Position).Value},
            {"reason", std::string(dutyLossName(reason))}});
  loseDuty(Duty, monoNow());
  Lease = 0;
  setGauge("duty_held", 0);
  if (OnLost)
    OnLost();
}

void DutyKeeper::tick(int rank) {
  MonoTime now = monoNow();
  if (dutyExpired(Duty, now))
    lose(DutyLoss::Expired);
  if (Busy || now < NextTryAt)
    return;
  if (Duty.Held && renewalDue(Duty, RenewalSentAt, now)) {
    renew();
  } else if (isAbandonedClaim(Duty)) {
    NextTryAt = now + RetryPause;
    removeClaim(Duty.Known->Position);
  } else if (claimDue(Duty, rank, now)) {
    claim();
  }
}

void DutyKeeper::claim() {
  MonoTime sentAt = monoNow();
  NextTryAt = sentAt + RetryPause;
  recordStoreCall(StoreCall::Lease);
  call(platform::grantLeaseRequest(std::chrono::duration_cast<Millis>(Ttl)),
       [this, sentAt](const Result<HttpMessage> &response) {
         if (!response)
           return; // The lease, if any, lapses.
         auto lease = platform::readLease(response.value());
         if (lease && !Duty.Stopping)
           putClaim(lease.value().Id, sentAt, lease.value().Ttl);
       });
}

void DutyKeeper::putClaim(std::int64_t lease, MonoTime leaseSentAt,
                          Duration ttl) {
  platform::StorePut put;
  put.Key = Key;
  put.Value = platform::writeDutyClaim(Duty.Self, Duty.StartId);
  put.Lease = lease;
  put.Conditional = true;
  recordStoreCall(StoreCall::Write);
  call(platform::putRequest(put),
       [this, lease, leaseSentAt, ttl](const Result<HttpMessage> &response) {
         if (response) {
           auto position = platform::readPutRevision(response.value());
           if (position) {
             gain(position.value(), lease, leaseSentAt + ttl);
             return;
           }
           if (position.error().Code == ErrorCode::NotFound ||
               position.error().Code == ErrorCode::Refused)
             return;
         }
         // Another VM's claim came first, or the answer was lost.
         findClaim(lease, leaseSentAt, ttl);
       });
}

void DutyKeeper::findClaim(std::int64_t lease, MonoTime leaseSentAt,
                           Duration ttl) {
  recordStoreCall(StoreCall::List);
  call(platform::getRequest(Key), [this, lease, leaseSentAt,
                                   ttl](const Result<HttpMessage> &response) {
    if (!response)
      return;
    auto item = platform::readItem(response.value());
    if (!item)
      return; // A claim that the store executes later becomes abandoned.
    auto found =
        platform::readDutyClaim(item.value().Value, item.value().ModRevision);
    // An earlier claim of this VM whose answer was lost is attached to
    // another lease, which nobody renews; it becomes abandoned.
    if (found && found.value().Vm == Duty.Self &&
        found.value().StartId == Duty.StartId && item.value().Lease == lease)
      gain(item.value().ModRevision, lease, leaseSentAt + ttl);
    else
      onChange(item.value());
  });
}

void DutyKeeper::gain(StorePosition position, std::int64_t lease,
                      MonoTime leaseUntil) {
  MonoTime now = monoNow();
  if (position.Era < Era || now >= leaseUntil || Duty.Stopping)
    return; // The claim is abandoned, and is removed when a watch shows it.
  gainDuty(Duty, position, leaseUntil, now);
  Lease = lease;
  RenewalSentAt = now;
  setGauge("duty_held", 1);
  logEvent(EventCode::DutyGained,
           {{"duty", Key},
            {"token", fencingToken(position).Value},
            {"quiet_us", (Duty.QuietUntil - now).count()}});
  if (OnGained)
    OnGained();
}

void DutyKeeper::renew() {
  MonoTime sentAt = monoNow();
  RenewalSentAt = sentAt;
  recordStoreCall(StoreCall::Renewal);
  call(platform::renewLeaseRequest(Lease),
       [this, sentAt,
        claimed = Duty.Held->Position](const Result<HttpMessage> &response) {
         if (!response || !Duty.Held || Duty.Held->Position != claimed) {
           RenewalSentAt = sentAt - Duty.Limits.Lease; // Repeat at once.
           return;
         }
         auto lease = platform::readLease(response.value());
         if (lease)
           renewDuty(Duty, sentAt, lease.value().Ttl);
         else if (lease.error().Code == ErrorCode::NotFound)
           lose(DutyLoss::Expired);
       });
}

void DutyKeeper::removeClaim(StorePosition position) {
  recordStoreCall(StoreCall::Write);
  call(platform::deleteRequest(Key, position),
       [](const Result<HttpMessage> &response) {
         // A watch shows the removal; otherwise it is tried again, or the lease
         // ends.
         if (!response)
           incrementCounter("duty_removal_unanswered");
       });
}

void DutyKeeper::stop() {
  Duty.Stopping = true;
  if (!Duty.Held)
    return;
  StorePosition position = Duty.Held->Position;
  lose(DutyLoss::Stopped);
  Channel.close(); // Ends a call in progress.
  removeClaim(position);
}

} // namespace savorylb
