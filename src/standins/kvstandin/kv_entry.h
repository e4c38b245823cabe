#ifndef SAVORYLB_STANDINS_KV_ENTRY_H
#define SAVORYLB_STANDINS_KV_ENTRY_H

#include <cstdint>
#include <string>

namespace savorylb::standin {

/// Value and metadata of a key, as in the store's HTTP interface.
struct KvEntry {
  std::string Value;
  std::uint64_t CreateIndex = 0;
  std::uint64_t ModifyIndex = 0;
  std::uint64_t LockIndex = 0;
  std::uint64_t Flags = 0;
  std::string Session;
  /// A deleted key keeps its modify index, so that watches detect the deletion.
  bool Deleted = false;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_KV_ENTRY_H
