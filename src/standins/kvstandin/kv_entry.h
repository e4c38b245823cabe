#ifndef SAVORYLB_STANDINS_KV_ENTRY_H
#define SAVORYLB_STANDINS_KV_ENTRY_H

#include <cstdint>
#include <string>

namespace savorylb::standin {

/// A key's value and its indexes as the store's HTTP interface publishes them.
struct KvEntry {
  std::string Value;
  std::uint64_t CreateIndex = 0;
  std::uint64_t ModifyIndex = 0;
  std::uint64_t LockIndex = 0;
  std::uint64_t Flags = 0;
  std::string Session;
  /// A deleted key keeps its index so that watches see the delete.
  bool Deleted = false;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_KV_ENTRY_H
