#ifndef SAVORYLB_DUTY_KEEPER_H
#define SAVORYLB_DUTY_KEEPER_H

#include "duty_lease.h"
#include "http_channel.h"
#include "store_protocol.h"

#include <functional>

namespace savorylb {

/// Claims a duty in the store when it is vacant, and renews the lease of the
/// claim while this VM holds it.
class DutyKeeper {
public:
  /// \param storeAddress `ip:port` of the store.
  /// \param key key of the claim.
  /// \param minLease shortest lease that the store grants.
  DutyKeeper(asio::io_context &io, const std::string &storeAddress,
             std::string key, const DutyState &duty, Millis minLease);

  /// Called when this VM gains the duty, and when it has lost it.
  using ChangeCallback = std::function<void()>;
  void reportChanges(ChangeCallback gained, ChangeCallback lost) {
    OnGained = std::move(gained);
    OnLost = std::move(lost);
  }

  /// Notes the era of an answer of the store.
  void onEra(StoreEra era);

  /// Applies a change of the claim's key that a watch has shown.
  void onChange(const platform::StoreItem &item);

  /// Notes that the documents of the system were listed.
  void onListed();

  /// Claims, renews or gives up the duty if that is due.
  /// \param rank place of this VM among the live VMs in the order for the duty.
  void tick(int rank);

  /// Gives the duty up, for a planned stop.
  void stop();

  /// Gives the duty up because the platform has seen a higher token.
  void refuseToken() { lose(DutyLoss::TokenRefused); }

  const DutyState &duty() const { return Duty; }

private:
  /// A lease that the store has granted.
  struct Grant {
    std::int64_t Lease = 0;
    MonoTime SentAt{};
    Duration Ttl{0};
  };

  void claim();
  void putClaim(const Grant &grant);
  void findClaim(const Grant &grant);
  void gain(StorePosition position, const Grant &grant);
  void renew();
  void removeClaim(StorePosition position);
  void lose(DutyLoss reason);
  void call(const HttpMessage &request, const HttpChannel::Done &done);

  HttpChannel Channel;
  std::string Key;
  DutyState Duty;
  Duration Ttl;
  std::int64_t Lease = 0;
  StoreEra Era;
  MonoTime RenewalSentAt{};
  MonoTime NextTryAt{};
  bool Busy = false;
  ChangeCallback OnGained;
  ChangeCallback OnLost;
};

} // namespace savorylb

#endif // SAVORYLB_DUTY_KEEPER_H
