#ifndef REVIEW_INSTANCE_H
#define REVIEW_INSTANCE_H

#include "http_server.h"
#include "record.h"
#include "store.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace review {

/// One request that reached an instance.
struct Arrival {
  std::string Instance;
  std::string Attempt;
  std::string Method;
  std::string Path;
  std::string Body;
  /// False if the instance rejected it.
  bool Ran = false;
  MonoTime At{};
  /// When its run ended; unset if it was broken off.
  std::optional<MonoTime> EndedAt;
};

/// Stand-in for an instance of a service. It registers itself in the store,
/// serves `Slots` requests at a time and rejects those that it has no room for.
class Instance {
public:
  struct Options {
    std::string Id;
    std::string Service;
    std::string Zone;
    std::string Address;
    int Slots = 4;
    Duration RunTime = Millis(200);
  };

  Instance(asio::io_context &io, Store &store, Record &record,
           std::vector<Arrival> &arrivals, Options options);

  bool start();
  /// \returns the entry that this instance writes.
  Json::Value entry() const;
  /// Reports that it drains, and says in all answers that it leaves.
  void drain();
  /// Leaves without reporting `draining`: the entry is removed, and from now on
  /// all answers say that the instance leaves.
  void leave();
  void removeEntry() { Registry.remove("servers/" + Settings.Id); }
  /// Ends the process: all connections close.
  void end();

  /// Run time of a request; Options.RunTime if it is empty.
  std::function<Duration(const std::string &path)> RunTimeOf;
  const Options &options() const { return Settings; }
  /// When the store accepted the report or the removal of the entry.
  std::optional<MonoTime> LeftAt;
  bool Leaving = false;

private:
  void serve(const std::shared_ptr<savorylb::ServedRequest> &request);
  void addNotice(savorylb::HttpMessage &response) const;

  asio::io_context &Io;
  Store &Registry;
  Record &Log;
  std::vector<Arrival> &Arrivals;
  Options Settings;
  std::unique_ptr<savorylb::HttpServer> Server;
  std::map<std::size_t, std::shared_ptr<savorylb::ServedRequest>> Running;
  std::int64_t Born = 0;
  bool Ended = false;
};

} // namespace review

#endif // REVIEW_INSTANCE_H
