#ifndef SAVORYLB_STANDINS_STORE_FAULTS_H
#define SAVORYLB_STANDINS_STORE_FAULTS_H

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <set>
#include <string>

namespace savorylb::standin {

/// The faults that are switched on at the store.
class StoreFaults {
public:
  void setOutage(bool on);
  void setBlackhole(bool on);
  void setDelay(std::chrono::milliseconds n);
  void loseAnswers(int n);
  void setBlocked(const std::string &client, bool on);
  /// Lets all held calls go on, so that the process can end.
  void stop();

  /// Holds a call while the blackhole is on, and for the delay.
  void pass();
  /// Holds an answer while the blackhole is on.
  void holdAnswer();
  /// \returns whether calls of the client are cut off.
  bool cuts(const std::string &client) const;
  /// \returns whether the answer of this write is to be lost.
  bool takeLostAnswer();

private:
  mutable std::mutex Lock;
  std::condition_variable Changed;
  bool Outage = false;
  bool Blackhole = false;
  bool Stopped = false;
  std::chrono::milliseconds Delay{};
  int LostAnswers = 0;
  std::set<std::string> Blocked;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_STORE_FAULTS_H
