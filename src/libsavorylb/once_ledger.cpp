#include "savorylb/once_ledger.h"

#include "savorylb/hash.h"

#include <algorithm>
#include <charconv>

namespace savorylb {
namespace {

bool isFinal(OnceState state) { return state != OnceState::InProgress; }

void expireEntry(OnceEntry &entry, MonoTime now) {
  if (!isFinal(entry.State) && now >= entry.Deadline)
    entry.State = OnceState::Unknown;
}

BeginResult answerRepeat(const OnceEntry &entry, const std::string &digest,
                         const TeamId &team) {
  BeginResult out;
  if (entry.Digest != digest || entry.Team != team) {
    out.Verdict = OnceVerdict::Conflict;
    return out;
  }
  out.Number = entry.Number;
  switch (entry.State) {
  case OnceState::InProgress:
    out.Verdict = OnceVerdict::InProgress;
    break;
  case OnceState::Done:
    out.Verdict = OnceVerdict::Done;
    out.Answer = entry.Answer;
    break;
  case OnceState::Unknown:
    out.Verdict = OnceVerdict::Unknown;
    break;
  }
  return out;
}

/// Selects a zone by rendezvous (highest random weight) hashing. The result
/// does not depend on the order of the zones.
ZoneId highestWeightZone(const RequestId &identity,
                         const std::vector<ZoneId> &zones) {
  ZoneId best;
  std::uint64_t most = 0;
  for (const auto &it : zones) {
    std::uint64_t weight = stableHash(identity.Value, stableHash(it.Value));
    // Ties are broken by name, so that the order of the zones is irrelevant.
    if (best.empty() || weight > most || (weight == most && it < best)) {
      best = it;
      most = weight;
    }
  }
  return best;
}

} // namespace

BeginResult beginOnce(OncePartition &partition, const RequestId &identity,
                      const std::string &digest, const TeamId &team,
                      MonoTime deadline, MonoTime now, std::int64_t revision) {
  auto it = partition.Entries.find(identity);
  if (it != partition.Entries.end()) {
    expireEntry(it->second, now);
    return answerRepeat(it->second, digest, team);
  }
  BeginResult out;
  if (deadline <= now)
    return out;
  OnceEntry entry;
  entry.Identity = identity;
  entry.Digest = digest;
  entry.Team = team;
  entry.Number = partition.NextNumber++;
  entry.BegunAt = now;
  entry.Deadline = deadline;
  std::int64_t issuedAt = identityRevision(identity);
  bool issuedAfterLoss = issuedAt > 0 && issuedAt <= revision &&
                         issuedAt >= partition.QuarantineRevision;
  if (now < partition.QuarantinedUntil && !issuedAfterLoss)
    entry.State = OnceState::Unknown;
  out.Number = entry.Number;
  out.Verdict = isFinal(entry.State) ? OnceVerdict::Unknown : OnceVerdict::Go;
  // An entry is stored for Unknown too, like for any other final state: a
  // request whose outcome was once reported as unknown must never run later.
  partition.Entries.emplace(identity, std::move(entry));
  return out;
}

bool cancelOnce(OncePartition &partition, const RequestId &identity,
                std::uint64_t number) {
  auto it = partition.Entries.find(identity);
  if (it == partition.Entries.end() || it->second.Number != number ||
      isFinal(it->second.State))
    return false;
  partition.Entries.erase(it);
  return true;
}

bool finishOnce(OncePartition &partition, const RequestId &identity,
                std::uint64_t number, OnceState state, StoredAnswer answer) {
  auto it = partition.Entries.find(identity);
  if (it == partition.Entries.end() || it->second.Number != number ||
      isFinal(it->second.State) || !isFinal(state))
    return false;
  it->second.State = state;
  if (state != OnceState::Done)
    return true;
  if (answer.Body.size() > MaxStoredBody) {
    answer.Body.clear();
    answer.BodyKept = false;
  }
  it->second.Answer = std::move(answer);
  return true;
}

int expireOnce(OncePartition &partition, Duration retention, MonoTime now) {
  int expired = 0;
  for (auto it = partition.Entries.begin(); it != partition.Entries.end();) {
    OnceEntry &entry = it->second;
    bool open = !isFinal(entry.State);
    expireEntry(entry, now);
    if (open && isFinal(entry.State))
      ++expired;
    // The retention time starts when the request begins, so that a quarantine
    // of one retention time outlasts every entry that may have been lost.
    bool old = isFinal(entry.State) && now >= entry.BegunAt + retention;
    it = old ? partition.Entries.erase(it) : std::next(it);
  }
  return expired;
}

void mergeOnce(OncePartition &partition, OnceEntry entry) {
  partition.NextNumber = std::max(partition.NextNumber, entry.Number + 1);
  auto it = partition.Entries.find(entry.Identity);
  if (it == partition.Entries.end()) {
    partition.Entries.emplace(entry.Identity, std::move(entry));
    return;
  }
  OnceEntry &own = it->second;
  bool newer = entry.Number > own.Number ||
               (entry.Number == own.Number && isFinal(entry.State));
  // A lower number belongs to a delayed message about a cancelled attempt.
  if (!isFinal(own.State) && newer)
    own = std::move(entry);
}

void promoteReplica(OncePartition &partition, bool complete, Duration retention,
                    MonoTime now) {
  if (!complete)
    partition.QuarantinedUntil =
        std::max(partition.QuarantinedUntil, now + retention);
  // The former home VM may have used numbers that were never replicated. A
  // delayed finish message with such a number must not match an entry here.
  constexpr std::uint64_t NumberStride = 1ULL << 32;
  partition.NextNumber =
      (partition.NextNumber / NumberStride + 1) * NumberStride;
}

std::int64_t identityRevision(const RequestId &identity) {
  std::size_t colon = identity.Value.find(':');
  std::size_t at = identity.Value.find('@');
  if (colon == std::string::npos || at == std::string::npos || at > colon)
    return 0;
  std::int64_t revision = 0;
  const char *first = identity.Value.data() + at + 1;
  const char *last = identity.Value.data() + colon;
  auto parsed = std::from_chars(first, last, revision);
  return parsed.ec == std::errc() && parsed.ptr == last && revision > 0
             ? revision
             : 0;
}

OnceHome locateHome(const RequestId &identity, const std::vector<ZoneId> &zones,
                    const std::vector<ZoneId> &homeZones) {
  OnceHome out;
  out.Partition = static_cast<int>(stableHash(identity.Value) % PartitionCount);
  auto colon = identity.Value.find(':');
  if (colon != std::string::npos) {
    std::string name = identity.Value.substr(0, colon);
    ZoneId prefix(name.substr(0, name.find('@')));
    if (std::find(zones.begin(), zones.end(), prefix) != zones.end()) {
      out.Zone = prefix;
      return out;
    }
  }
  out.Zone = highestWeightZone(identity, homeZones.empty() ? zones : homeZones);
  return out;
}

} // namespace savorylb
