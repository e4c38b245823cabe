#ifndef SAVORYLB_VM_REGISTRATION_H
#define SAVORYLB_VM_REGISTRATION_H

#include "http_channel.h"
#include "store_contact.h"
#include "store_protocol.h"

#include <deque>

namespace savorylb {

/// Keeps this VM's entry in the store under a lease, and writes the rollout
/// statuses of services.
class VmRegistration {
public:
  /// \param address `ip:port` of the store.
  /// \param key key of this VM's entry.
  /// \param value content of the entry.
  /// \param minLease shortest lease that the store grants.
  VmRegistration(asio::io_context &io, const std::string &address,
                 std::string key, std::string value, Millis minLease);

  /// Starts to acquire the lease and to write the entry.
  void start() { step(); }

  /// Removes the entry and stops. The lease expires by itself: the store may
  /// have come back from an older copy and have granted its id to another VM,
  /// which this VM may not know yet.
  void stop();

  /// Queues a write, which replaces a queued write to the same key. It is sent
  /// once, and is dropped when it fails, when its condition does not hold or
  /// when the condition was computed in an older era.
  void write(platform::StorePut put);

  /// Receives the era of each answer of the store.
  using EraCallback = std::function<void(StoreEra)>;
  void reportEras(EraCallback report) { OnEra = std::move(report); }

  /// Called each time the entry has been written.
  using WrittenCallback = std::function<void()>;
  void reportWritten(WrittenCallback report) { OnWritten = std::move(report); }

  /// Shares the record of the store's answers with the other users of the
  /// store.
  void shareContact(std::shared_ptr<StoreContact> contact) {
    Contact = std::move(contact);
  }

  /// Asks the store whether it is in an era that another call or another VM has
  /// shown. If an answer confirms it, a lease of an older era is replaced and
  /// the entry is written again: the store has lost the lease and may give its
  /// id to another VM. Queued writes wait for the answer.
  void enterEra(StoreEra era);

private:
  void step();
  void scheduleNext(Duration pause);
  bool isEraUnconfirmed() const { return AnnouncedEra > Era; }
  void noteAnswer(const Result<HttpMessage> &response);
  void dropOutdated();
  void acquireLease();
  void putEntry();
  void removeEntry();
  void findEntry();
  void renewLease();
  void writeNextDocument();

  asio::steady_timer Timer;
  HttpChannel Channel;
  std::string Key;
  std::string Value;
  Millis LeaseTtl;
  std::int64_t Lease = 0;
  StoreEra LeaseEra;
  /// The highest era that an answer of the store has shown.
  StoreEra Era;
  /// The highest era that was announced, and whether a call began after that.
  StoreEra AnnouncedEra;
  bool AskedSinceAnnounced = false;
  EraCallback OnEra;
  WrittenCallback OnWritten;
  std::shared_ptr<StoreContact> Contact = std::make_shared<StoreContact>();
  bool EntryWritten = false;
  /// A write of the entry was sent.
  bool EntrySent = false;
  /// Position of the entry's last write; 0 if it is not known.
  StorePosition EntryPosition;
  bool Stopping = false;
  bool Busy = false;
  std::deque<platform::StorePut> PendingWrites;
};

} // namespace savorylb

#endif // SAVORYLB_VM_REGISTRATION_H
