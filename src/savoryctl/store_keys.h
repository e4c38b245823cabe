#ifndef SAVORYCTL_STORE_KEYS_H
#define SAVORYCTL_STORE_KEYS_H

namespace savorylb {

constexpr const char *ConfigKey = "savory/v1/config";
constexpr const char *BlockIndexKey = "savory/v1/blocks";
/// Outside the prefix that daemons watch, since a watch returns all values
/// under its prefix.
constexpr const char *BlockPartsPrefix = "savory/blocks/v1/";
constexpr const char *KeyRingKey = "savory/v1/keys";
constexpr const char *ZonePrefix = "savory/v1/zones/";
constexpr const char *RolloutPrefix = "savory/v1/rollouts/";
/// Outside of the prefix that daemons watch.
constexpr const char *HistoryPrefix = "savory/history/config/";

} // namespace savorylb

#endif // SAVORYCTL_STORE_KEYS_H
