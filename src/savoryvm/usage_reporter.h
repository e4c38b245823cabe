#ifndef SAVORYLB_USAGE_REPORTER_H
#define SAVORYLB_USAGE_REPORTER_H

#include "duty_keeper.h"
#include "peer_link.h"
#include "usage_schedule.h"
#include "vm_settings.h"

#include <random>

namespace savorylb {

/// Reports the teams' usage to the platform while this VM holds the duty, and
/// passes this VM's counts on to the holder.
class UsageReporter {
public:
  /// \param state its Usage must be set.
  UsageReporter(asio::io_context &io, const VmSettings &settings,
                SteeringState &state, PeerLink &link);

  /// Applies a change of the duty's key that a watch has shown.
  void onDutyChange(const platform::StoreItem &item) { Keeper.onChange(item); }

  /// Notes that the documents of the system were listed.
  void onListed() { Keeper.onListed(); }

  /// Notes the era of an answer of the store.
  void onEra(StoreEra era);

  /// Performs the steps that are due.
  void tick();

  /// Gives the duty up, for a planned stop; tick() goes on passing counts on.
  void stop() { Keeper.stop(); }

  /// Passes the counts on to the holder of the duty now.
  void sendCounts();

private:
  void onGained();
  void onLost();
  void readRecord();
  void advance();
  void settle(const UsageStep &step);
  void send(const UsageStep &step);
  void onAnswer(UsageWindow window, const Result<HttpMessage> &response);
  int rank() const;
  UsageWindow newestWindow() const;

  SteeringState &State;
  PeerLink &Link;
  VmSettings Settings;
  DutyKeeper Keeper;
  HttpChannel Store;
  HttpChannel PlatformApi;
  UsageSchedule Schedule;
  /// Position of the record in the store; 0 if the store has none.
  StorePosition RecordAt;
  bool StoreBusy = false;
  bool ApiBusy = false;
  MonoTime NextReadAt{};
  MonoTime CountsSentAt{};
  /// Claim of the holder that the counts were last sent to. A holder that has
  /// started again lacks what its earlier process was told.
  StorePosition CountsSentTo;
  /// Sequence numbers of the last report but one, and of the last one.
  std::int64_t CountsSent = 0;
  std::int64_t CountsRepeated = 0;
  StoreEra Era;
  /// When this process first saw Era.
  std::optional<MonoTime> EraSeenAt;
  std::minstd_rand Random{std::random_device()()};
};

} // namespace savorylb

#endif // SAVORYLB_USAGE_REPORTER_H
