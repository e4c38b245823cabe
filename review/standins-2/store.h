#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include "http_server.h"
#include "record.h"

#include <deque>
#include <json/json.h>
#include <list>
#include <map>

namespace review {

namespace asio = boost::asio;

/// Stand-in for the platform's metadata store: items, leases, transactions,
/// ranges and watches over HTTP/1.1.
class Store {
public:
  explicit Store(asio::io_context &io);
  bool listen(const std::string &address);

  /// Writes of the operator and of instances.
  void put(const std::string &key, const std::string &value);
  void remove(const std::string &key);

  /// If set, a watch that has waited this long is cut: its connection closes
  /// without a response.
  Duration CutWatchesAfter{0};
  /// Watches that were cut.
  int Cuts = 0;

private:
  struct Item {
    std::string Value;
    /// Value in base64.
    std::shared_ptr<const std::string> Encoded;
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    std::int64_t Revision = 0;
    bool Removed = false;
    std::shared_ptr<const std::string> Encoded;
    std::int64_t Created = 0;
    MonoTime At{};
  };
  struct Watch {
    std::shared_ptr<savorylb::ServedRequest> Request;
    std::string Prefix;
    std::int64_t After = 0;
    MonoTime Since{};
    MonoTime Until{};
  };
  struct Lease {
    Duration Ttl{0};
    MonoTime EndsAt{};
  };

  void serve(const std::shared_ptr<savorylb::ServedRequest> &request);
  savorylb::HttpMessage range(const std::string &path) const;
  savorylb::HttpMessage transact(const std::string &body);
  savorylb::HttpMessage grant(const std::string &body);
  savorylb::HttpMessage renew(std::int64_t id);
  Json::Value eventsAfter(const Watch &watch) const;
  void write(const std::string &key, const std::string &value,
             std::int64_t lease);
  void erase(const std::string &key);
  void answerWatches();
  void tick();

  asio::steady_timer Ticker;
  savorylb::HttpServer Server;
  std::map<std::string, Item> Items;
  std::deque<Change> History;
  std::map<std::int64_t, Lease> Leases;
  std::list<Watch> Watches;
  std::int64_t Revision = 10;
  /// History up to this revision was discarded.
  std::int64_t Discarded = 10;
  std::int64_t LastLease = 0;
};

} // namespace review

#endif // REVIEW_STORE_H
