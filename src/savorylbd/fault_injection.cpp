#include "fault_injection.h"

#include "daemon.h"

#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <thread>

namespace savorylb {
namespace {

/// Longest simulated wait; a longer timeout of the call is cut to it.
constexpr Duration LostCallTimeout = Millis(800);

bool isStoreBlocked(Daemon &daemon) {
  std::lock_guard<std::mutex> guard(daemon.Faults.Lock);
  return daemon.Faults.StoreBlocked;
}

auto failLostCall() {
  simulateLostCall(LostCallTimeout);
  return failure(ErrorCode::Unknown, "no answer from the store");
}

} // namespace

bool isPeerBlocked(Daemon &daemon, const std::string &endpoint) {
  if (!daemon.Conf.AllowFaultInjection)
    return false;
  std::lock_guard<std::mutex> guard(daemon.Faults.Lock);
  return daemon.Faults.BlockedPeers.count(endpoint) > 0;
}

void simulateLostCall(Duration timeout) {
  std::this_thread::sleep_for(std::min(timeout, LostCallTimeout));
}

void setPartition(Daemon &daemon, const std::string &peers, bool store) {
  Poco::StringTokenizer tokens(peers, ",",
                               Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  std::lock_guard<std::mutex> guard(daemon.Faults.Lock);
  daemon.Faults.BlockedPeers = {tokens.begin(), tokens.end()};
  daemon.Faults.StoreBlocked = store;
}

StoreClient partitionedStore(Daemon &daemon, const StoreClient &store) {
  StoreClient faulty = store;
  faulty.Get = [&daemon, store](const std::string &key) -> Result<StoreValue> {
    if (isStoreBlocked(daemon))
      return failLostCall();
    return store.Get(key);
  };
  faulty.List = [&daemon, store](const std::string &prefix, std::uint64_t after,
                                 Duration wait) -> Result<StoreListing> {
    if (isStoreBlocked(daemon))
      return failLostCall();
    Result<StoreListing> listing = store.List(prefix, after, wait);
    // A response to a call from before the partition is lost as well.
    if (isStoreBlocked(daemon))
      return failLostCall();
    return listing;
  };
  faulty.CompareAndSwap =
      [&daemon, store](const std::string &key, const std::string &value,
                       std::uint64_t index) -> Result<void> {
    if (isStoreBlocked(daemon))
      return failLostCall();
    return store.CompareAndSwap(key, value, index);
  };
  return faulty;
}

} // namespace savorylb
