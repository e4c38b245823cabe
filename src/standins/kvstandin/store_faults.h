#ifndef SAVORYLB_STANDINS_STORE_FAULTS_H
#define SAVORYLB_STANDINS_STORE_FAULTS_H

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <set>
#include <string>

namespace savorylb::standin {

/// Faults injected into the store.
class StoreFaults {
public:
  /// Sets whether the connections of all calls are closed without a response.
  void setOutage(bool on);
  /// Sets whether calls and responses are held until the fault is cleared.
  void setBlackhole(bool on);
  /// Sets the delay before each call.
  void setDelay(std::chrono::milliseconds n);
  /// Executes the next \p n writes, but closes their connections without a
  /// response.
  void loseResponses(int n);
  /// Sets whether the connections of one client's calls are closed without a
  /// response.
  void setBlocked(const std::string &client, bool on);
  /// Ends all waits and drops all further calls. Not called by main, which
  /// exits without joining its threads.
  void stop();

  /// Waits for the delay and until the blackhole is off.
  void waitBeforeCall();
  /// Waits until the blackhole is off.
  void waitBeforeResponse();
  /// \returns whether calls of the client are to be dropped.
  bool dropsCallsOf(const std::string &client) const;
  /// Decrements the number of write responses to lose.
  /// \returns whether the response of this write is to be lost.
  bool consumeLostResponse();

private:
  mutable std::mutex Lock;
  std::condition_variable Changed;
  bool Outage = false;
  bool Blackhole = false;
  bool Stopped = false;
  std::chrono::milliseconds Delay{};
  int ResponsesToLose = 0;
  std::set<std::string> Blocked;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_STORE_FAULTS_H
