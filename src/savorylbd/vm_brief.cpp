#include "vm_brief.h"

#include "savorylb/hash.h"

#include <algorithm>
#include <limits>

namespace savorylb {
namespace {

constexpr std::uint32_t DepartingFlag = 1;
constexpr std::uint32_t StoreContactFlag = 2;
constexpr std::int64_t MicrosPerToken = 1'000'000;

std::uint64_t appendToHash(std::uint64_t hash, const std::string &text) {
  // The separator distinguishes "a","bc" from "ab","c".
  return stableHash("/", stableHash(text, hash));
}

template <typename Unit> std::uint32_t clampedCount(Duration span) {
  auto n = std::chrono::duration_cast<Unit>(span).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(n, 0, std::numeric_limits<std::int32_t>::max()));
}

} // namespace

std::uint32_t briefId(const VmView &view) {
  std::uint64_t hash = stableHash(view.Name.Value);
  for (const std::string *it :
       {&view.VmIncarnation.Value, &view.Zone.Value, &view.Region.Value,
        &view.PeerEndpoint, &view.CallerEndpoint})
    hash = appendToHash(hash, *it);
  for (const auto &[key, load] : view.Loads)
    hash = appendToHash(appendToHash(hash, key.first.Value), key.second.Value);
  for (const auto &[team, level] : view.Tokens)
    hash = appendToHash(hash, team.Value);
  // 0 means that there is no id.
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(hash));
}

void fillBrief(const VmView &view, MonoTime now, bool withTokens,
               peer::VmBrief &out) {
  out.set_id(view.BriefId);
  out.set_age_ms(clampedCount<Millis>(now - view.AsOf));
  out.set_flags((view.Departing ? DepartingFlag : 0) |
                (view.StoreContact ? StoreContactFlag : 0));
  // Rounded up, so that the age of the keys is never understated.
  out.set_store_age_s(clampedCount<Seconds>(now - view.StoreContactAt) + 1);
  for (const auto &[key, load] : view.Loads) {
    out.add_loads(static_cast<std::uint32_t>(load.FreeSlots));
    out.add_loads(static_cast<std::uint32_t>(load.TotalSlots));
    out.add_loads(static_cast<std::uint32_t>(load.Queued));
  }
  if (withTokens)
    for (const auto &[team, level] : view.Tokens)
      out.add_tokens(level.Value / MicrosPerToken);
}

bool applyBrief(const peer::VmBrief &in, MonoTime sentAt, VmView &view) {
  auto loads = static_cast<std::size_t>(in.loads_size());
  auto tokens = static_cast<std::size_t>(in.tokens_size());
  if (in.id() != view.BriefId || loads != view.Loads.size() * 3 ||
      (tokens != 0 && tokens != view.Tokens.size()))
    return false;
  MonoTime contact =
      sentAt - Seconds(static_cast<std::int64_t>(in.store_age_s()));
  view.StoreContactAt = std::max(view.StoreContactAt, contact);
  MonoTime asOf = sentAt - Millis(in.age_ms());
  if (asOf <= view.AsOf)
    return false;
  view.AsOf = asOf;
  view.Departing = view.Departing || (in.flags() & DepartingFlag) != 0;
  view.StoreContact = (in.flags() & StoreContactFlag) != 0;
  int n = 0;
  for (auto &[key, load] : view.Loads) {
    load.FreeSlots = static_cast<int>(in.loads(n));
    load.TotalSlots = static_cast<int>(in.loads(n + 1));
    load.Queued = static_cast<int>(in.loads(n + 2));
    n += 3;
  }
  n = 0;
  if (tokens != 0)
    for (auto &[team, level] : view.Tokens)
      level = MicroTokens(in.tokens(n++) * MicrosPerToken);
  return true;
}

} // namespace savorylb
