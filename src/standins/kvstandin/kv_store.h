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

/// The key-value state with its sessions and waiting reads. All functions may
/// be called from any thread.
class KvStore {
public:
  using Clock = std::chrono::steady_clock;

  /// Reads a key, or all keys under a prefix.
  KvListing read(const std::string &key, bool recurse) const;

  /// Waits until the index of a key or prefix exceeds the given one.
  /// \param cut polled on each wake-up; true ends the wait early.
  void wait(const std::string &key, bool recurse, std::uint64_t after,
            Clock::duration limit, const std::function<bool()> &cut);

  /// \returns whether the write was applied.
  /// Throws Poco::NotFoundException for an unknown session.
  bool put(const KvWrite &w);

  /// \returns whether the delete was applied.
  bool remove(const std::string &key, bool recurse,
              std::optional<std::uint64_t> cas);

  /// \returns the id of a new session that lives for the given time; a time
  /// of 0 means that it never expires.
  std::string createSession(std::chrono::milliseconds ttl, bool deleteOnExpiry);
  /// \returns false for an unknown session.
  bool renewSession(const std::string &id);
  bool destroySession(const std::string &id);
  /// Ends the sessions that were not renewed in time.
  void expireSessions();

  /// Keeps the present state for a later rollback.
  void snapshot();
  /// Restores the snapshot. Keys that differ get new indexes, since the index
  /// of a prefix never goes back.
  /// \returns false without a snapshot.
  bool rollback();

  /// Makes all waiting reads poll their cut function.
  void wakeAll();

private:
  struct Watch {
    std::string Key;
    bool Recurse = false;
    std::condition_variable Changed;
  };
  struct Session {
    std::chrono::milliseconds Ttl{};
    bool DeleteOnExpiry = false;
    Clock::time_point Expires;
  };

  std::uint64_t indexOf(const std::string &key, bool recurse) const;
  void touch(const std::string &key, KvEntry &it);
  void endSession(const std::string &id);

  mutable std::mutex Lock;
  std::map<std::string, KvEntry> Entries;
  std::map<std::string, KvEntry> Kept;
  bool HasSnapshot = false;
  std::map<std::string, Session> Sessions;
  std::list<Watch *> Watches;
  std::uint64_t Index = 1;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_KV_STORE_H
