#include "vm_registration.h"

#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

#include <algorithm>

namespace savorylb {
namespace {

/// A VM that has ended leaves the lookups after this at the latest. Two
/// renewals may be lost.
constexpr Millis WantedLease(2400);
constexpr Duration RenewEvery = Millis(800);
constexpr Duration RetryPause = Millis(300);
constexpr Duration CallTimeout = Millis(900);

} // namespace

VmRegistration::VmRegistration(asio::io_context &io, const std::string &address,
                               std::string key, std::string value,
                               Millis minLease)
    : Timer(io), Channel(io.get_executor(), address), Key(std::move(key)),
      Value(std::move(value)), LeaseSpan(std::max(WantedLease, minLease)) {}

void VmRegistration::next(Duration pause) {
  Busy = false;
  Timer.expires_after(Changes.empty() || pause == RetryPause ? pause
                                                             : Duration(0));
  Timer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      step();
  });
}

void VmRegistration::step() {
  if (Busy)
    return;
  Busy = true;
  if (Stopping) {
    Channel.call(platform::endLeaseRequest(Lease), CallTimeout,
                 [](const Result<HttpMessage> &) {
                   // The lease ends by itself if the call was lost.
                 });
  } else if (!Changes.empty()) {
    writeFront();
  } else if (Lease == 0) {
    openLease();
  } else if (!Written) {
    putEntry();
  } else {
    renew();
  }
}

void VmRegistration::openLease() {
  Channel.call(platform::leaseRequest(LeaseSpan), CallTimeout,
               [this](const Result<HttpMessage> &response) {
                 if (response) {
                   auto lease = platform::readLease(response.value());
                   if (lease)
                     Lease = lease.value().Id;
                 }
                 next(Lease ? Duration(0) : RetryPause);
               });
}

void VmRegistration::putEntry() {
  platform::StoreChange change;
  change.Key = Key;
  change.Value = Value;
  change.Lease = Lease;
  Channel.call(platform::changeRequest(change), CallTimeout,
               [this](const Result<HttpMessage> &response) {
                 if (response) {
                   auto changed = platform::readChanged(response.value());
                   Written = changed.has_value();
                   if (!changed && changed.error().Code == ErrorCode::NotFound)
                     Lease = 0;
                 }
                 next(Written ? RenewEvery : RetryPause);
               });
}

void VmRegistration::renew() {
  Channel.call(platform::renewRequest(Lease), CallTimeout,
               [this](const Result<HttpMessage> &response) {
                 bool renewed = false;
                 if (response) {
                   auto lease = platform::readLease(response.value());
                   renewed = lease.has_value();
                   if (!lease && lease.error().Code == ErrorCode::NotFound) {
                     logEvent(EventCode::LeaseLost, {{"key", Key}});
                     Lease = 0;
                     Written = false;
                   }
                 }
                 next(renewed ? RenewEvery : RetryPause);
               });
}

void VmRegistration::writeFront() {
  platform::StoreChange change = Changes.front();
  Changes.pop_front();
  Channel.call(platform::changeRequest(change), CallTimeout,
               [this, change](const Result<HttpMessage> &response) {
                 std::string outcome = "written";
                 if (!response) {
                   outcome = response.error().Message;
                 } else {
                   auto changed = platform::readChanged(response.value());
                   if (!changed)
                     outcome = changed.error().Message;
                 }
                 logEvent(EventCode::StoreWrite,
                          {{"key", change.Key}, {"outcome", outcome}});
                 next(Lease == 0 || !Written ? Duration(0) : RenewEvery / 2);
               });
}

void VmRegistration::write(platform::StoreChange change) {
  // A change that waits for the same key is outdated.
  Changes.erase(std::remove_if(Changes.begin(), Changes.end(),
                               [&](const platform::StoreChange &it) {
                                 return it.Key == change.Key;
                               }),
                Changes.end());
  Changes.push_back(std::move(change));
  if (!Busy) {
    Timer.cancel();
    step();
  }
}

void VmRegistration::stop() {
  Stopping = true;
  Timer.cancel();
  if (Lease == 0)
    return;
  Channel.close();
  Busy = false;
  step();
}

} // namespace savorylb
