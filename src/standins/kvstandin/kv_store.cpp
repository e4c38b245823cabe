#include "kv_store.h"

#include <Poco/Exception.h>
#include <Poco/UUIDGenerator.h>

#include <algorithm>
#include <vector>

namespace savorylb::standin {

namespace {

bool startsWith(const std::string &text, const std::string &prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

KvListing KvStore::read(const std::string &key, bool recurse) const {
  std::lock_guard<std::mutex> guard(Lock);
  KvListing out;
  out.Index = highestIndex(key, recurse);
  for (auto it = Entries.lower_bound(key);
       it != Entries.end() &&
       (recurse ? startsWith(it->first, key) : it->first == key);
       ++it)
    if (!it->second.Deleted)
      out.Entries.push_back(*it);
  return out;
}

std::uint64_t KvStore::highestIndex(const std::string &key,
                                    bool recurse) const {
  std::uint64_t highest = 1;
  for (auto it = Entries.lower_bound(key);
       it != Entries.end() &&
       (recurse ? startsWith(it->first, key) : it->first == key);
       ++it)
    highest = std::max(highest, it->second.ModifyIndex);
  return highest;
}

void KvStore::wait(const std::string &key, bool recurse, std::uint64_t after,
                   Clock::duration timeout,
                   const std::function<bool()> &cancelled) {
  auto end = Clock::now() + timeout;
  std::unique_lock<std::mutex> guard(Lock);
  Watch self;
  self.Key = key;
  self.Recurse = recurse;
  auto pos = WaitingWatches.insert(WaitingWatches.end(), &self);
  while (highestIndex(key, recurse) <= after && !cancelled())
    if (self.Changed.wait_until(guard, end) == std::cv_status::timeout)
      break;
  WaitingWatches.erase(pos);
}

void KvStore::recordChange(const std::string &key, KvEntry &it) {
  it.ModifyIndex = ++Index;
  for (auto *w : WaitingWatches)
    if (w->Recurse ? startsWith(key, w->Key) : key == w->Key)
      w->Changed.notify_all();
}

bool KvStore::put(const KvWrite &w) {
  std::lock_guard<std::mutex> guard(Lock);
  for (const auto &id : {w.Acquire, w.Release})
    if (!id.empty() && Sessions.count(id) == 0)
      throw Poco::NotFoundException("invalid session", id);
  auto found = Entries.find(w.Key);
  bool exists = found != Entries.end() && !found->second.Deleted;
  if (w.Cas &&
      (*w.Cas == 0 ? exists : !exists || found->second.ModifyIndex != *w.Cas))
    return false;
  const std::string holder = exists ? found->second.Session : "";
  if (!w.Acquire.empty() && !holder.empty() && holder != w.Acquire)
    return false;
  if (!w.Release.empty() && holder != w.Release)
    return false;

  KvEntry updated = exists ? found->second : KvEntry();
  updated.Value = w.Value;
  updated.Flags = w.Flags;
  if (!w.Acquire.empty() && holder != w.Acquire) {
    updated.Session = w.Acquire;
    ++updated.LockIndex;
  }
  if (!w.Release.empty())
    updated.Session.clear();
  // As in the real store, a write that changes nothing does not advance the
  // index.
  if (exists && updated.Value == found->second.Value &&
      updated.Flags == found->second.Flags && updated.Session == holder)
    return true;
  if (!exists)
    updated.CreateIndex = Index + 1;
  auto &entry = Entries[w.Key];
  entry = updated;
  recordChange(w.Key, entry);
  return true;
}

bool KvStore::remove(const std::string &key, bool recurse,
                     std::optional<std::uint64_t> cas) {
  std::lock_guard<std::mutex> guard(Lock);
  if (cas) {
    auto it = Entries.find(key);
    if (it == Entries.end() || it->second.Deleted)
      return true;
    if (it->second.ModifyIndex != *cas)
      return false;
  }
  for (auto it = Entries.lower_bound(key);
       it != Entries.end() &&
       (recurse ? startsWith(it->first, key) : it->first == key);
       ++it) {
    if (it->second.Deleted)
      continue;
    it->second = KvEntry();
    it->second.Deleted = true;
    recordChange(it->first, it->second);
  }
  return true;
}

std::string KvStore::createSession(std::chrono::milliseconds ttl,
                                   bool deleteKeysAtEnd) {
  auto id = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
  std::lock_guard<std::mutex> guard(Lock);
  Sessions[id] = {ttl, deleteKeysAtEnd, Clock::now() + ttl};
  return id;
}

bool KvStore::renewSession(const std::string &id) {
  std::lock_guard<std::mutex> guard(Lock);
  auto it = Sessions.find(id);
  if (it == Sessions.end())
    return false;
  it->second.Expires = Clock::now() + it->second.Ttl;
  return true;
}

bool KvStore::destroySession(const std::string &id) {
  std::lock_guard<std::mutex> guard(Lock);
  if (Sessions.count(id) == 0)
    return false;
  endSession(id);
  return true;
}

void KvStore::endSession(const std::string &id) {
  bool deleteKeys = Sessions[id].DeleteKeysAtEnd;
  Sessions.erase(id);
  for (auto &it : Entries) {
    if (it.second.Session != id)
      continue;
    if (deleteKeys) {
      it.second = KvEntry();
      it.second.Deleted = true;
    }
    it.second.Session.clear();
    recordChange(it.first, it.second);
  }
}

void KvStore::expireSessions() {
  std::lock_guard<std::mutex> guard(Lock);
  std::vector<std::string> ended;
  for (auto &it : Sessions)
    if (it.second.Ttl.count() > 0 && it.second.Expires <= Clock::now())
      ended.push_back(it.first);
  for (auto &id : ended)
    endSession(id);
}

void KvStore::snapshot() {
  std::lock_guard<std::mutex> guard(Lock);
  Snapshot = Entries;
  HasSnapshot = true;
}

bool KvStore::rollback() {
  std::lock_guard<std::mutex> guard(Lock);
  if (!HasSnapshot)
    return false;
  for (auto &it : Entries) {
    auto old = Snapshot.find(it.first);
    if (old != Snapshot.end() &&
        old->second.ModifyIndex == it.second.ModifyIndex)
      continue;
    bool deleted = old == Snapshot.end() || old->second.Deleted;
    if (deleted && it.second.Deleted)
      continue;
    it.second = deleted ? KvEntry() : old->second;
    it.second.Deleted = deleted;
    if (Sessions.count(it.second.Session) == 0)
      it.second.Session.clear();
    recordChange(it.first, it.second);
  }
  return true;
}

void KvStore::wakeWatches() {
  std::lock_guard<std::mutex> guard(Lock);
  for (auto *w : WaitingWatches)
    w->Changed.notify_all();
}

} // namespace savorylb::standin
