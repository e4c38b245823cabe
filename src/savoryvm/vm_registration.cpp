#include "vm_registration.h"

#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Lease of this VM's entry. It bounds how long lookups return a VM that has
/// stopped. It is long enough to retry after one renewal timed out
/// (RenewInterval + CallTimeout + RetryPause).
constexpr Millis PreferredLeaseTtl(2400);
constexpr Duration RenewInterval = Millis(800);
constexpr Duration RetryPause = Millis(300);
constexpr Duration CallTimeout = Millis(900);

} // namespace

VmRegistration::VmRegistration(asio::io_context &io, const std::string &address,
                               std::string key, std::string value,
                               Millis minLease)
    : Timer(io), Channel(io.get_executor(), address), Key(std::move(key)),
      Value(std::move(value)), LeaseTtl(std::max(PreferredLeaseTtl, minLease)) {
}

void VmRegistration::scheduleNext(Duration pause) {
  Busy = false;
  bool waits = PendingWrites.empty() && !isEraUnconfirmed();
  Timer.expires_after(waits || pause == RetryPause ? pause : Duration(0));
  Timer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      step();
  });
}

void VmRegistration::step() {
  if (Busy)
    return;
  Busy = true;
  AskedSinceAnnounced = true;
  if (Stopping) {
    removeEntry();
  } else if (!PendingWrites.empty() && !isEraUnconfirmed()) {
    writeNextDocument();
  } else if (Lease == 0) {
    acquireLease();
  } else if (!EntryWritten) {
    putEntry();
  } else {
    renewLease();
  }
}

void VmRegistration::noteAnswer(const Result<HttpMessage> &response) {
  if (!response)
    return;
  if (platform::isServed(response.value()))
    recordServed(*Contact, monoNow());
  StoreEra era = platform::readStoreEra(response.value());
  if (era > Era) {
    Era = era;
    dropOutdated();
  }
  // The store itself shows that the announcement was wrong.
  if (AskedSinceAnnounced)
    AnnouncedEra = std::min(AnnouncedEra, Era);
  OnEra(era);
}

void VmRegistration::enterEra(StoreEra era) {
  if (era <= Era || era <= AnnouncedEra)
    return;
  AnnouncedEra = era;
  AskedSinceAnnounced = false;
  if (!Busy && !Stopping) {
    Timer.cancel();
    step();
  }
}

void VmRegistration::dropOutdated() {
  if (Lease != 0 && LeaseEra < Era) {
    logEvent(EventCode::LeaseLost, {{"key", Key}, {"era", Era.Value}});
    Lease = 0;
    EntryWritten = false;
  }
  PendingWrites.erase(std::remove_if(PendingWrites.begin(), PendingWrites.end(),
                                     [&](const platform::StorePut &it) {
                                       return it.ExpectedRevision.Era < Era;
                                     }),
                      PendingWrites.end());
}

void VmRegistration::acquireLease() {
  recordStoreCall(StoreCall::Lease);
  Channel.call(platform::grantLeaseRequest(LeaseTtl), CallTimeout,
               [this](const Result<HttpMessage> &response) {
                 noteAnswer(response);
                 // A late answer of an older era grants a lease that is lost.
                 if (response &&
                     platform::readStoreEra(response.value()) == Era) {
                   auto lease = platform::readLease(response.value());
                   if (lease) {
                     Lease = lease.value().Id;
                     LeaseEra = Era;
                   }
                 }
                 scheduleNext(Lease ? Duration(0) : RetryPause);
               });
}

void VmRegistration::putEntry() {
  platform::StorePut put;
  put.Key = Key;
  put.Value = Value;
  put.Lease = Lease;
  EntrySent = true;
  EntryPosition = StorePosition();
  recordStoreCall(StoreCall::Write);
  Channel.call(platform::putRequest(put), CallTimeout,
               [this, lease = Lease](const Result<HttpMessage> &response) {
                 noteAnswer(response);
                 if (response && Lease == lease) {
                   auto revision = platform::readPutRevision(response.value());
                   EntryWritten = revision.has_value();
                   if (revision) {
                     EntryPosition = revision.value();
                     if (OnWritten)
                       OnWritten();
                   }
                   if (!revision &&
                       revision.error().Code == ErrorCode::NotFound)
                     Lease = 0;
                 }
                 scheduleNext(EntryWritten ? RenewInterval : RetryPause);
               });
}

/// Removes the entry on condition that it is this process's. If a call is lost,
/// the entry is removed when the lease expires.
void VmRegistration::removeEntry() {
  if (EntryPosition == StorePosition()) {
    findEntry();
    return;
  }
  recordStoreCall(StoreCall::Write);
  Channel.call(platform::deleteRequest(Key, EntryPosition), CallTimeout,
               [this](const Result<HttpMessage> &response) {
                 if (!response)
                   return;
                 auto removed = platform::readPutRevision(response.value());
                 if (!removed && removed.error().Code == ErrorCode::Conflict)
                   findEntry();
               });
}

/// Removes the entry at the revision that the store shows, if it is this
/// process's.
void VmRegistration::findEntry() {
  recordStoreCall(StoreCall::List);
  Channel.call(platform::listRequest(Key, ""), CallTimeout,
               [this](const Result<HttpMessage> &response) {
                 if (!response)
                   return;
                 auto page = platform::readPage(response.value());
                 if (!page)
                   return;
                 for (const platform::StoreItem &it : page.value().Items)
                   if (it.Key == Key && it.Value == Value) {
                     EntryPosition = it.ModRevision;
                     removeEntry();
                   }
               });
}

void VmRegistration::renewLease() {
  recordStoreCall(StoreCall::Renewal);
  Channel.call(platform::renewLeaseRequest(Lease), CallTimeout,
               [this, id = Lease](const Result<HttpMessage> &response) {
                 noteAnswer(response);
                 bool renewed = false;
                 if (response && Lease == id) {
                   auto lease = platform::readLease(response.value());
                   renewed = lease.has_value();
                   if (!lease && lease.error().Code == ErrorCode::NotFound) {
                     logEvent(EventCode::LeaseLost, {{"key", Key}});
                     Lease = 0;
                     EntryWritten = false;
                   }
                 }
                 // A lease that is known to be lost is replaced at once.
                 Duration pause = renewed ? RenewInterval : RetryPause;
                 scheduleNext(Lease == 0 && response ? Duration(0) : pause);
               });
}

void VmRegistration::writeNextDocument() {
  platform::StorePut put = PendingWrites.front();
  PendingWrites.pop_front();
  recordStoreCall(StoreCall::Write);
  Channel.call(platform::putRequest(put), CallTimeout,
               [this, put](const Result<HttpMessage> &response) {
                 noteAnswer(response);
                 std::string outcome = "written";
                 if (!response) {
                   outcome = response.error().Message;
                 } else {
                   auto revision = platform::readPutRevision(response.value());
                   if (!revision)
                     outcome = revision.error().Message;
                 }
                 logEvent(EventCode::StoreWrite,
                          {{"key", put.Key}, {"outcome", outcome}});
                 scheduleNext(Lease == 0 || !EntryWritten ? Duration(0)
                                                          : RenewInterval / 2);
               });
}

void VmRegistration::write(platform::StorePut put) {
  if (put.ExpectedRevision.Era < Era)
    return;
  // A queued write to the same key is outdated.
  PendingWrites.erase(std::remove_if(PendingWrites.begin(), PendingWrites.end(),
                                     [&](const platform::StorePut &it) {
                                       return it.Key == put.Key;
                                     }),
                      PendingWrites.end());
  PendingWrites.push_back(std::move(put));
  if (!Busy) {
    Timer.cancel();
    step();
  }
}

void VmRegistration::stop() {
  Stopping = true;
  Timer.cancel();
  if (!EntrySent)
    return;
  Channel.close();
  Busy = false;
  step();
}

} // namespace savorylb
