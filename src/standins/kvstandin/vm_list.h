#ifndef SAVORYLB_STANDINS_VM_LIST_H
#define SAVORYLB_STANDINS_VM_LIST_H

#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace savorylb::standin {

/// The platform's VM list, shown as it was some time ago.
class VmList {
public:
  /// Replaces the list.
  /// \param doc an array of VMs, or an object with `vms`.
  /// Throws Poco::SyntaxException when it is neither.
  void replace(const Json::Value &doc);
  void setLag(std::chrono::milliseconds n);
  /// \returns the published document.
  Json::Value show() const;

private:
  using Clock = std::chrono::steady_clock;
  struct Version {
    Clock::time_point Since;
    std::uint64_t Number = 0;
    Json::Value Vms;
  };

  mutable std::mutex Lock;
  std::deque<Version> Versions;
  std::chrono::milliseconds Lag{};
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_VM_LIST_H
