#ifndef SAVORYLB_STANDINS_KV_WRITE_H
#define SAVORYLB_STANDINS_KV_WRITE_H

#include <cstdint>
#include <optional>
#include <string>

namespace savorylb::standin {

/// Parameters of a write to a key.
struct KvWrite {
  std::string Key;
  std::string Value;
  std::uint64_t Flags = 0;
  /// Expected modify index; 0 means that the key must not exist.
  std::optional<std::uint64_t> Cas;
  /// Session that acquires the lock, or "".
  std::string Acquire;
  /// Session that releases the lock, or "".
  std::string Release;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_KV_WRITE_H
