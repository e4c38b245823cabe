#ifndef SAVORYLB_PLATFORM_STORE_H
#define SAVORYLB_PLATFORM_STORE_H

#include "http_server.h"

#include <deque>
#include <json/json.h>
#include <list>
#include <map>

namespace savorylb::standin {

/// Faults of the simulated store.
struct StoreFaults {
  /// Responds with 503 and executes nothing.
  bool Busy = false;
  /// Executes nothing and never responds.
  bool Silent = false;
  /// Executes requests without responding; watches still respond.
  bool DropResponses = false;
  /// Leases expire while the store is busy or silent.
  bool ExpireLeases = false;
  Duration Delay{0};
};

/// Simulates the platform's metadata store.
class PlatformStore {
public:
  explicit PlatformStore(asio::io_context &io);

  /// Serves at one more address.
  /// \returns whether the address could be bound.
  bool listen(const std::string &address);
  /// Executes nothing and never responds at one address, or serves it again.
  void setSilent(const std::string &address, bool silent);

  /// Writes a key without the checks that apply to VMs, as the operator or a
  /// target does.
  void put(const std::string &key, const std::string &value);
  void remove(const std::string &key);
  /// \returns the value of a key, or an empty string if it does not exist.
  std::string get(const std::string &key) const;
  /// Discards the change history, so that watches from earlier revisions fail
  /// with status 410.
  void compactHistory();
  void setFaults(const StoreFaults &faults) { Faults = faults; }
  /// Closes the connections of the waiting watches without a response.
  void cutWatches();
  /// Copies items, revision and leases.
  void takeCopy();
  /// Returns to the last copy in the next era, as a store that lost its latest
  /// changes does. Waiting watches are cut.
  void restoreCopy();
  std::int64_t calls() const { return Calls; }

private:
  struct Item {
    std::string Value;
    std::int64_t ModRevision = 0;
    std::int64_t CreateRevision = 0;
    std::int64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    std::int64_t Revision = 0;
    bool Removed = false;
  };
  /// An address at which the store is reached.
  struct Endpoint {
    std::unique_ptr<HttpServer> Server;
    bool Silent = false;
  };
  struct Watch {
    std::shared_ptr<ServedRequest> Request;
    const Endpoint *At = nullptr;
    std::string Prefix;
    std::int64_t After = 0;
    std::shared_ptr<asio::steady_timer> Timer;
  };
  struct Lease {
    Duration Ttl{0};
    MonoTime ExpiresAt{};
  };

  struct Copy {
    std::map<std::string, Item> Items;
    std::int64_t Revision = 0;
    std::int64_t NextLease = 0;
    std::map<std::int64_t, Lease> Leases;
    MonoTime TakenAt{};
  };

  void serve(const std::shared_ptr<ServedRequest> &request, const Endpoint &at);
  void respond(const std::shared_ptr<ServedRequest> &request,
               HttpMessage response) const;
  void answer(const std::shared_ptr<ServedRequest> &request,
              const Endpoint &at);
  HttpMessage list(const std::string &path);
  HttpMessage read(const std::string &path) const;
  HttpMessage applyTransaction(const std::string &body);
  HttpMessage grantLease(const std::string &body);
  HttpMessage renew(std::int64_t id);
  HttpMessage revokeLease(std::int64_t id);
  void watch(const std::shared_ptr<ServedRequest> &request, const Endpoint &at);
  HttpMessage changesAfter(const std::string &prefix, std::int64_t after,
                           bool &hasChanges);
  void write(const std::string &key, const std::string &value,
             std::int64_t lease);
  void erase(const std::string &key);
  void notifyWatches();
  void expireLeases();
  Json::Value itemJson(const std::string &key, const Item &item) const;

  asio::io_context &Io;
  std::map<std::string, Endpoint> Endpoints;
  asio::steady_timer LeaseTimer;
  StoreFaults Faults;
  std::map<std::string, Item> Items;
  std::deque<Change> History;
  /// Value of the header `Store-Era`.
  std::int64_t Era = 1;
  Copy Saved;
  std::int64_t Revision = 100;
  std::int64_t CompactedRevision = 100;
  std::int64_t NextLease = 1000;
  std::map<std::int64_t, Lease> Leases;
  std::list<Watch> Watches;
  std::int64_t Calls = 0;
};

} // namespace savorylb::standin

#endif // SAVORYLB_PLATFORM_STORE_H
