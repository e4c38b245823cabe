#ifndef SAVORYLB_STANDINS_VM_LIST_H
#define SAVORYLB_STANDINS_VM_LIST_H

#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace savorylb::standin {

/// The platform's VM list, published with a configurable lag.
class VmList {
public:
  /// Adds a new version of the list.
  /// \param doc an array of VMs, or an object with `vms`.
  /// Throws Poco::SyntaxException for any other document.
  void replace(const Json::Value &doc);
  void setLag(std::chrono::milliseconds n);
  /// \returns the document with the version that was valid at the present time
  /// minus the lag.
  Json::Value publishedDocument() const;

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
