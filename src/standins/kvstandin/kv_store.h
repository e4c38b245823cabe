#ifndef SAVORYLB_STANDINS_KV_STORE_H
#define SAVORYLB_STANDINS_KV_STORE_H

#include "kv_entry.h"
#include "kv_listing.h"
#include "kv_write.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>

namespace savorylb::standin {

/// Keys, sessions and watches of the store. Thread-safe.
class KvStore {
public:
  using Clock = std::chrono::steady_clock;

  /// Reads a key, or with \p recurse all keys that start with \p key.
  KvListing read(const std::string &key, bool recurse) const;

  /// Waits until the index of a key or prefix exceeds \p after.
  /// \param timeout maximum wait.
  /// \param cancelled evaluated on each wake-up; true ends the wait.
  void wait(const std::string &key, bool recurse, std::uint64_t after,
            Clock::duration timeout, const std::function<bool()> &cancelled);

  /// \returns whether the write was applied.
  /// Throws Poco::NotFoundException for an unknown session.
  bool put(const KvWrite &w);

  /// \param cas expected modify index, or nothing to delete in any case.
  /// \returns false when the modify index differs. Deleting a missing key
  /// succeeds.
  bool remove(const std::string &key, bool recurse,
              std::optional<std::uint64_t> cas);

  /// \param ttl time until the session expires unless it is renewed; 0 means
  /// never.
  /// \param deleteKeysAtEnd whether the end of the session, by expiry or
  /// destroySession(), deletes the keys that it has locked, instead of only
  /// releasing the locks.
  /// \returns the id of the session.
  std::string createSession(std::chrono::milliseconds ttl,
                            bool deleteKeysAtEnd);
  /// \returns false for an unknown session.
  bool renewSession(const std::string &id);
  /// \returns false for an unknown session.
  bool destroySession(const std::string &id);
  /// Ends the sessions whose TTL has passed.
  void expireSessions();

  /// Saves the keys for a later rollback.
  void snapshot();
  /// Restores the keys of the snapshot. Keys that differ get a new modify
  /// index, since the index of a prefix never decreases.
  /// \returns false when there is no snapshot.
  bool rollback();

  /// Wakes all waiting reads, which then evaluate their `cancelled` function.
  void wakeWatches();

private:
  struct Watch {
    std::string Key;
    bool Recurse = false;
    std::condition_variable Changed;
  };
  struct Session {
    std::chrono::milliseconds Ttl{};
    bool DeleteKeysAtEnd = false;
    Clock::time_point Expires;
  };

  std::uint64_t highestIndex(const std::string &key, bool recurse) const;
  /// Gives the entry a new modify index and wakes the watches of its key.
  void recordChange(const std::string &key, KvEntry &it);
  void endSession(const std::string &id);

  mutable std::mutex Lock;
  std::map<std::string, KvEntry> Entries;
  std::map<std::string, KvEntry> Snapshot;
  bool HasSnapshot = false;
  std::map<std::string, Session> Sessions;
  std::list<Watch *> WaitingWatches;
  /// Modify index of the last change.
  std::uint64_t Index = 1;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_KV_STORE_H
