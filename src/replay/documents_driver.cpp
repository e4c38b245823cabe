// Copies of one document at the daemons, against a store that answers late,
// comes back older, or is down, while operators race.

#include "drivers.h"
#include "random.h"
#include "virtual_time.h"

#include "savorylb/document_cache.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <vector>

namespace savorylb::replay {
namespace {

constexpr Duration PollInterval = Seconds(1);
constexpr Duration StoreDelay = Millis(3);
constexpr Duration LongestStaleness = Seconds(4);

struct Daemon {
  std::optional<CachedDocument> Own;
  /// Reaches no store; peers in the same state still answer.
  bool Cut = false;
};

struct DocumentWorld {
  VirtualTime Time;
  Random Rand;
  DecisionLog &Log;
  std::vector<Daemon> Daemons;
  /// All versions of the store; the newest is in force.
  std::vector<CachedDocument> Versions;
  bool StoreDown = false;
  double StaleReads = 0;
  Revision Accepted;
  Duration AcceptedAt{};
  bool Pending = false;
  Duration LongestAdoption{};
  long Reverts = 0;
  long Diverged = 0;
  long Repairs = 0;
  long Writes = 0;

  DocumentWorld(std::uint64_t seed, DecisionLog &log) : Rand(seed), Log(log) {}
};

CachedDocument makeDocument(Revision rev, const std::string &text) {
  CachedDocument out;
  out.Rev = rev;
  out.Content = "{\"revision\": " + std::to_string(rev.Value) +
                ", \"text\": \"" + text + "\"}";
  return out;
}

bool compareAndSwap(DocumentWorld &world, CachedDocument next,
                    std::uint64_t index) {
  if (world.StoreDown || index != world.Versions.back().StoreIndex)
    return false;
  next.StoreIndex = index + 1;
  world.Versions.push_back(std::move(next));
  return true;
}

/// Repeats no rule of the library: a copy must only go to a higher revision.
void adopt(DocumentWorld &world, std::size_t n, const CachedDocument &offered) {
  Daemon &it = world.Daemons[n];
  world.Reverts += it.Own && offered.Rev <= it.Own->Rev ? 1 : 0;
  it.Own = offered;
  world.Log.note(world.Time.Now, "daemon " + std::to_string(n) + " adopts " +
                                     std::to_string(offered.Rev.Value));
  bool everywhere = std::all_of(
      world.Daemons.begin(), world.Daemons.end(),
      [&](const Daemon &d) { return d.Own && d.Own->Rev >= world.Accepted; });
  if (!world.Pending || !everywhere)
    return;
  world.Pending = false;
  world.LongestAdoption =
      std::max(world.LongestAdoption, world.Time.Now - world.AcceptedAt);
}

void offer(DocumentWorld &world, std::size_t n, const CachedDocument &offered,
           bool fromStore, std::uint64_t index) {
  Daemon &it = world.Daemons[n];
  switch (decideAdoption(it.Own ? &*it.Own : nullptr,
                         revisionOf(offered.Content), offered.Content,
                         fromStore)) {
  case Adoption::Adopt:
    return adopt(world, n, offered);
  case Adoption::Repair:
    world.Repairs += compareAndSwap(world, *it.Own, index) ? 1 : 0;
    return;
  case Adoption::Diverged:
    ++world.Diverged;
    return;
  case Adoption::Same:
  case Adoption::Ignore:
    return;
  }
}

/// A stale read returns a version that was replaced within the last seconds;
/// the daemon does not know that, so it counts as one from the store.
void readStore(DocumentWorld &world, std::size_t n) {
  if (world.StoreDown || world.Daemons[n].Cut)
    return;
  Duration delay = StoreDelay;
  if (world.Rand.chance(world.StaleReads))
    delay += Duration(world.Rand.below(LongestStaleness.count()));
  CachedDocument read = world.Versions.back();
  world.Time.after(delay, [&world, n, read] {
    offer(world, n, read, true, read.StoreIndex);
  });
}

void pullFromPeer(DocumentWorld &world, std::size_t n) {
  auto count = static_cast<std::int64_t>(world.Daemons.size());
  const Daemon &peer =
      world.Daemons[static_cast<std::size_t>(world.Rand.below(count))];
  if (peer.Own && peer.Cut == world.Daemons[n].Cut)
    offer(world, n, *peer.Own, false, 0);
}

/// An operator reads, thinks, and writes by compare-and-swap the highest
/// revision that store and reachable daemons know, plus one.
void operate(DocumentWorld &world, const std::string &text) {
  if (world.StoreDown)
    return;
  CachedDocument read = world.Versions.back();
  Revision highest = read.Rev;
  for (const Daemon &it : world.Daemons)
    if (it.Own && !it.Cut)
      highest = std::max(highest, it.Own->Rev);
  world.Time.after(Millis(50), [&world, read, highest, text] {
    CachedDocument next = makeDocument(highest + Revision(1), text);
    if (!compareAndSwap(world, next, read.StoreIndex))
      return;
    ++world.Writes;
    world.Accepted = next.Rev;
    world.AcceptedAt = world.Time.Now;
    world.Pending = true;
    world.Log.note(world.Time.Now, "accepted " + next.Content);
  });
}

void runEvent(DocumentWorld &world, const TraceEvent &event) {
  const Json::Value &it = event.Fields;
  if (event.What == "operate") {
    for (int n = 0; n < it.get("operators", 1).asInt(); ++n)
      operate(world, "operator-" + std::to_string(n));
  } else if (event.What == "store") {
    world.StoreDown = it.get("down", false).asBool();
  } else if (event.What == "restore") {
    // The store comes back from a copy that is some revisions old.
    auto back = it["versions"].asUInt();
    CachedDocument old = world.Versions[world.Versions.size() - 1 - back];
    old.StoreIndex = world.Versions.back().StoreIndex + 1;
    world.Versions.push_back(old);
  } else if (event.What == "cut" || event.What == "heal") {
    world.Daemons[it["daemon"].asUInt()].Cut = event.What == "cut";
  } else {
    throw std::runtime_error("unknown event " + event.What);
  }
}

} // namespace

Figures replayDocuments(const Trace &trace, DecisionLog &log) {
  DocumentWorld world(trace.Seed, log);
  world.Daemons.resize(trace.Parameters.get("vms", 10).asUInt());
  world.StaleReads = trace.Parameters.get("stale_reads", 0.0).asDouble();
  world.Versions.push_back(makeDocument(Revision(1), "first"));
  world.Versions.back().StoreIndex = 1;
  for (std::size_t n = 0; n < world.Daemons.size(); ++n) {
    world.Time.every(Duration(world.Rand.below(PollInterval.count())),
                     PollInterval, [&world, n] {
                       readStore(world, n);
                       pullFromPeer(world, n);
                     });
  }
  for (const TraceEvent &event : trace.Events)
    world.Time.at(event.At, [&world, &event] { runEvent(world, event); });
  world.Time.runUntil(trace.Length);
  if (world.Pending)
    world.LongestAdoption =
        std::max(world.LongestAdoption, world.Time.Now - world.AcceptedAt);
  Figures figures;
  figures["reverts"] = static_cast<double>(world.Reverts);
  figures["diverged"] = static_cast<double>(world.Diverged);
  figures["repairs"] = static_cast<double>(world.Repairs);
  figures["writes"] = static_cast<double>(world.Writes);
  figures["longest_adoption_ms"] =
      static_cast<double>(world.LongestAdoption.count()) / 1000;
  figures["behind_at_end"] = static_cast<double>(std::count_if(
      world.Daemons.begin(), world.Daemons.end(), [&](const Daemon &it) {
        return !it.Own || it.Own->Rev < world.Accepted ||
               it.Own->Rev != world.Versions.back().Rev;
      }));
  return figures;
}

} // namespace savorylb::replay
