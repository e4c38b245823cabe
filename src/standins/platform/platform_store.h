#ifndef SAVORYLB_PLATFORM_STORE_H
#define SAVORYLB_PLATFORM_STORE_H

#include "http_server.h"

#include <deque>
#include <json/json.h>
#include <list>
#include <map>

namespace savorylb::standin {

/// How the stand-in store misbehaves.
struct StoreFaults {
  /// Answers 503 and does nothing.
  bool Busy = false;
  /// Does nothing and never answers.
  bool Silent = false;
  /// Does what it is asked and never answers.
  bool LoseAnswers = false;
  /// Leases run out while the store is away.
  bool Lapse = false;
  Duration Delay{0};
};

/// Takes the place of the platform's metadata store.
class PlatformStore {
public:
  explicit PlatformStore(asio::io_context &io);

  bool listen(const std::string &address) { return Server.listen(address); }

  /// Writes as the operator or a target does.
  void put(const std::string &key, const std::string &value);
  void remove(const std::string &key);
  /// \returns a key's value, empty when there is none.
  std::string get(const std::string &key) const;
  /// Drops the history, so that watches from earlier revisions end.
  void forgetHistory();
  void setFaults(const StoreFaults &faults) { Faults = faults; }
  std::int64_t calls() const { return Calls; }

private:
  struct Item {
    std::string Value;
    std::int64_t Changed = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    std::int64_t Revision = 0;
    bool Removed = false;
  };
  struct Watch {
    std::shared_ptr<ServedRequest> Request;
    std::string Prefix;
    std::int64_t After = 0;
    std::shared_ptr<asio::steady_timer> Timer;
  };
  struct Lease {
    Duration Span{0};
    MonoTime Ends{};
  };

  void serve(const std::shared_ptr<ServedRequest> &request);
  void answer(const std::shared_ptr<ServedRequest> &request);
  HttpMessage list(const std::string &path);
  HttpMessage change(const std::string &body);
  HttpMessage makeLease(const std::string &body);
  HttpMessage renew(std::int64_t id);
  HttpMessage endLease(std::int64_t id);
  void watch(const std::shared_ptr<ServedRequest> &request);
  HttpMessage changesAfter(const std::string &prefix, std::int64_t after,
                           bool &any);
  void write(const std::string &key, const std::string &value,
             std::int64_t lease);
  void erase(const std::string &key);
  void wakeWatches();
  void expireLeases();
  Json::Value row(const std::string &key, const Item &item) const;

  asio::io_context &Io;
  HttpServer Server;
  asio::steady_timer Ticker;
  StoreFaults Faults;
  std::map<std::string, Item> Items;
  std::deque<Change> History;
  std::int64_t Revision = 100;
  std::int64_t Oldest = 100;
  std::int64_t NextLease = 1000;
  std::map<std::int64_t, Lease> Leases;
  std::list<Watch> Watches;
  std::int64_t Calls = 0;
};

} // namespace savorylb::standin

#endif // SAVORYLB_PLATFORM_STORE_H
