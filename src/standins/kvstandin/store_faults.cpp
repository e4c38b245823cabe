#include "store_faults.h"

namespace savorylb::standin {

void StoreFaults::setOutage(bool on) {
  std::lock_guard<std::mutex> guard(Lock);
  Outage = on;
}

void StoreFaults::setBlackhole(bool on) {
  std::lock_guard<std::mutex> guard(Lock);
  Blackhole = on;
  Changed.notify_all();
}

void StoreFaults::setDelay(std::chrono::milliseconds n) {
  std::lock_guard<std::mutex> guard(Lock);
  Delay = n;
}

void StoreFaults::loseResponses(int n) {
  std::lock_guard<std::mutex> guard(Lock);
  ResponsesToLose = n;
}

void StoreFaults::setBlocked(const std::string &client, bool on) {
  std::lock_guard<std::mutex> guard(Lock);
  if (on)
    Blocked.insert(client);
  else
    Blocked.erase(client);
}

void StoreFaults::stop() {
  std::lock_guard<std::mutex> guard(Lock);
  Stopped = true;
  Changed.notify_all();
}

void StoreFaults::waitBeforeCall() {
  std::unique_lock<std::mutex> guard(Lock);
  if (Delay.count() > 0)
    Changed.wait_for(guard, Delay, [this] { return Stopped; });
  Changed.wait(guard, [this] { return !Blackhole || Stopped; });
}

void StoreFaults::waitBeforeResponse() {
  std::unique_lock<std::mutex> guard(Lock);
  Changed.wait(guard, [this] { return !Blackhole || Stopped; });
}

bool StoreFaults::dropsCallsOf(const std::string &client) const {
  std::lock_guard<std::mutex> guard(Lock);
  return Outage || Stopped || (!client.empty() && Blocked.count(client) > 0);
}

bool StoreFaults::consumeLostResponse() {
  std::lock_guard<std::mutex> guard(Lock);
  if (ResponsesToLose == 0)
    return false;
  --ResponsesToLose;
  return true;
}

} // namespace savorylb::standin
