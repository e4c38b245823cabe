// Distribution of one document to the daemons while the store responds late, is
// restored from an old copy or is down, and operators write concurrently.

#include "drivers.h"
#include "random.h"
#include "virtual_clock.h"

#include "savorylb/document_cache.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <vector>

namespace savorylb::replay {
namespace {

constexpr Duration PollInterval = Seconds(1);
constexpr Duration StoreDelay = Millis(3);
/// Maximum additional delay of a stale read.
constexpr Duration MaxStaleness = Seconds(4);

struct Daemon {
  std::optional<CachedDocument> Document;
  /// Reaches neither the store nor daemons that do; other isolated daemons are
  /// reachable.
  bool Isolated = false;
};

struct DocumentSimulation {
  VirtualClock Clock;
  Random Rand;
  DecisionLog &Log;
  std::vector<Daemon> Daemons;
  /// History of the document in the store; the last version is current.
  std::vector<CachedDocument> Versions;
  bool StoreDown = false;
  double StaleReadChance = 0;
  /// The last revision that an operator wrote.
  Revision AcceptedRevision;
  /// When AcceptedRevision was written.
  Duration AcceptedAt{};
  /// Whether a daemon has not adopted AcceptedRevision yet.
  bool AdoptionPending = false;
  Duration LongestAdoption{};
  /// Adoptions of a revision that is not higher than the daemon's.
  long Reverts = 0;
  /// Received documents that differ from the daemon's at the same revision.
  long Diverged = 0;
  /// Successful repairs of the store.
  long Repairs = 0;
  /// Successful writes of operators.
  long Writes = 0;

  DocumentSimulation(std::uint64_t seed, DecisionLog &log)
      : Rand(seed), Log(log) {}
};

CachedDocument makeDocument(Revision rev, const std::string &text) {
  CachedDocument out;
  out.Rev = rev;
  out.Content = "{\"revision\": " + std::to_string(rev.Value) +
                ", \"text\": \"" + text + "\"}";
  return out;
}

bool compareAndSwap(DocumentSimulation &sim, CachedDocument next,
                    std::uint64_t index) {
  if (sim.StoreDown || index != sim.Versions.back().StoreIndex)
    return false;
  next.StoreIndex = index + 1;
  sim.Versions.push_back(std::move(next));
  return true;
}

/// Replaces a daemon's copy and checks, without the library's rules, that its
/// revision only increases.
void adoptDocument(DocumentSimulation &sim, std::size_t n,
                   const CachedDocument &received) {
  Daemon &it = sim.Daemons[n];
  sim.Reverts += it.Document && received.Rev <= it.Document->Rev ? 1 : 0;
  it.Document = received;
  sim.Log.record(sim.Clock.Now, "daemon " + std::to_string(n) + " adopts " +
                                    std::to_string(received.Rev.Value));
  bool everywhere =
      std::all_of(sim.Daemons.begin(), sim.Daemons.end(), [&](const Daemon &d) {
        return d.Document && d.Document->Rev >= sim.AcceptedRevision;
      });
  if (!sim.AdoptionPending || !everywhere)
    return;
  sim.AdoptionPending = false;
  sim.LongestAdoption =
      std::max(sim.LongestAdoption, sim.Clock.Now - sim.AcceptedAt);
}

void receiveDocument(DocumentSimulation &sim, std::size_t n,
                     const CachedDocument &received, bool fromStore,
                     std::uint64_t index) {
  Daemon &it = sim.Daemons[n];
  switch (decideAdoption(it.Document ? &*it.Document : nullptr,
                         revisionOf(received.Content), received.Content,
                         fromStore)) {
  case Adoption::Adopt:
    return adoptDocument(sim, n, received);
  case Adoption::Repair:
    sim.Repairs += compareAndSwap(sim, *it.Document, index) ? 1 : 0;
    return;
  case Adoption::Diverged:
    ++sim.Diverged;
    return;
  case Adoption::Same:
  case Adoption::Ignore:
    return;
  }
}

/// Reads the document from the store. A stale read arrives late, so its version
/// may have been replaced meanwhile; the daemon cannot know that and treats it
/// as current.
void readStore(DocumentSimulation &sim, std::size_t n) {
  if (sim.StoreDown || sim.Daemons[n].Isolated)
    return;
  Duration delay = StoreDelay;
  if (sim.Rand.chance(sim.StaleReadChance))
    delay += Duration(sim.Rand.below(MaxStaleness.count()));
  CachedDocument read = sim.Versions.back();
  sim.Clock.after(delay, [&sim, n, read] {
    receiveDocument(sim, n, read, true, read.StoreIndex);
  });
}

void pullFromPeer(DocumentSimulation &sim, std::size_t n) {
  auto count = static_cast<std::int64_t>(sim.Daemons.size());
  const Daemon &peer =
      sim.Daemons[static_cast<std::size_t>(sim.Rand.below(count))];
  if (peer.Document && peer.Isolated == sim.Daemons[n].Isolated)
    receiveDocument(sim, n, *peer.Document, false, 0);
}

/// Simulates an operator who reads the document and later writes a new one by
/// compare-and-swap. Its revision is one above the highest in the store and on
/// reachable daemons.
void submitChange(DocumentSimulation &sim, const std::string &text) {
  if (sim.StoreDown)
    return;
  CachedDocument read = sim.Versions.back();
  Revision highest = read.Rev;
  for (const Daemon &it : sim.Daemons)
    if (it.Document && !it.Isolated)
      highest = std::max(highest, it.Document->Rev);
  sim.Clock.after(Millis(50), [&sim, read, highest, text] {
    CachedDocument next = makeDocument(highest + Revision(1), text);
    if (!compareAndSwap(sim, next, read.StoreIndex))
      return;
    ++sim.Writes;
    sim.AcceptedRevision = next.Rev;
    sim.AcceptedAt = sim.Clock.Now;
    sim.AdoptionPending = true;
    sim.Log.record(sim.Clock.Now, "accepted " + next.Content);
  });
}

void applyEvent(DocumentSimulation &sim, const TraceEvent &event) {
  const Json::Value &it = event.Fields;
  if (event.Kind == "operate") {
    for (int n = 0; n < it.get("operators", 1).asInt(); ++n)
      submitChange(sim, "operator-" + std::to_string(n));
  } else if (event.Kind == "store") {
    sim.StoreDown = it.get("down", false).asBool();
  } else if (event.Kind == "restore") {
    // The store is restored from a copy that is some versions old.
    auto back = it["versions"].asUInt();
    CachedDocument old = sim.Versions[sim.Versions.size() - 1 - back];
    old.StoreIndex = sim.Versions.back().StoreIndex + 1;
    sim.Versions.push_back(old);
  } else if (event.Kind == "cut" || event.Kind == "heal") {
    sim.Daemons[it["daemon"].asUInt()].Isolated = event.Kind == "cut";
  } else {
    throw std::runtime_error("unknown event " + event.Kind);
  }
}

} // namespace

Measurements replayDocuments(const Trace &trace, DecisionLog &log) {
  DocumentSimulation sim(trace.Seed, log);
  sim.Daemons.resize(trace.Parameters.get("vms", 10).asUInt());
  sim.StaleReadChance = trace.Parameters.get("stale_reads", 0.0).asDouble();
  sim.Versions.push_back(makeDocument(Revision(1), "first"));
  sim.Versions.back().StoreIndex = 1;
  for (std::size_t n = 0; n < sim.Daemons.size(); ++n) {
    sim.Clock.every(Duration(sim.Rand.below(PollInterval.count())),
                    PollInterval, [&sim, n] {
                      readStore(sim, n);
                      pullFromPeer(sim, n);
                    });
  }
  for (const TraceEvent &event : trace.Events)
    sim.Clock.at(event.At, [&sim, &event] { applyEvent(sim, event); });
  sim.Clock.runUntil(trace.Length);
  if (sim.AdoptionPending)
    sim.LongestAdoption =
        std::max(sim.LongestAdoption, sim.Clock.Now - sim.AcceptedAt);
  Measurements measured;
  measured["reverts"] = static_cast<double>(sim.Reverts);
  measured["diverged"] = static_cast<double>(sim.Diverged);
  measured["repairs"] = static_cast<double>(sim.Repairs);
  measured["writes"] = static_cast<double>(sim.Writes);
  measured["longest_adoption_ms"] =
      static_cast<double>(sim.LongestAdoption.count()) / 1000;
  measured["behind_at_end"] = static_cast<double>(std::count_if(
      sim.Daemons.begin(), sim.Daemons.end(), [&](const Daemon &it) {
        return !it.Document || it.Document->Rev < sim.AcceptedRevision ||
               it.Document->Rev != sim.Versions.back().Rev;
      }));
  return measured;
}

} // namespace savorylb::replay
