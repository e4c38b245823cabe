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

void StoreFaults::loseAnswers(int n) {
  std::lock_guard<std::mutex> guard(Lock);
  LostAnswers = n;
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

void StoreFaults::pass() {
  std::unique_lock<std::mutex> guard(Lock);
  if (Delay.count() > 0)
    Changed.wait_for(guard, Delay, [this] { return Stopped; });
  Changed.wait(guard, [this] { return !Blackhole || Stopped; });
}

void StoreFaults::holdAnswer() {
  std::unique_lock<std::mutex> guard(Lock);
  Changed.wait(guard, [this] { return !Blackhole || Stopped; });
}

bool StoreFaults::cuts(const std::string &client) const {
  std::lock_guard<std::mutex> guard(Lock);
  return Outage || Stopped || (!client.empty() && Blocked.count(client) > 0);
}

bool StoreFaults::takeLostAnswer() {
  std::lock_guard<std::mutex> guard(Lock);
  if (LostAnswers == 0)
    return false;
  --LostAnswers;
  return true;
}

} // namespace savorylb::standin
