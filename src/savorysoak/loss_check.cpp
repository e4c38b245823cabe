#include "loss_check.h"

#include <algorithm>

namespace savorylb::soak {
namespace {

/// A process counts as disturbed for this time after a disruption.
constexpr Duration ContactWindow = Seconds(3);
/// Longest time after which a replaced configuration may still be in force
/// while store faults delay the new one.
constexpr Duration ReplacedConfigTime = Millis(7500);

bool overlaps(const Disruption &disruption, MonoTime from, MonoTime to) {
  return disruption.From <= to && (!disruption.To || *disruption.To >= from);
}

} // namespace

LossVerdict judgeRequest(const FailedRequest &request,
                         const std::vector<Disruption> &disruptions,
                         Duration gracePeriod) {
  MonoTime from = request.SentAt - ContactWindow;
  const Disruption *stop = nullptr;
  bool unplanned = false;
  for (const Disruption &it : disruptions) {
    if (!overlaps(it, from, request.EndedAt))
      continue;
    if (it.Kind == DisruptionKind::Terminated)
      stop = &it;
    else
      unplanned = true;
  }
  LossVerdict excused =
      request.RanAtSoundTarget ? LossVerdict::Excused : LossVerdict::NotLost;
  if (unplanned)
    return request.Answered ? LossVerdict::NotLost : excused;
  if (stop) {
    bool restarted = stop->To && *stop->To <= request.SentAt;
    bool inTime = request.EndedAt < stop->From + gracePeriod * 5 / 6;
    if (request.RanAtSoundTarget && !restarted && inTime)
      return LossVerdict::LostInShutdown;
    return request.Answered ? LossVerdict::NotLost : excused;
  }
  if (request.Answered)
    return LossVerdict::NotLost;
  if (request.RanAtSoundTarget)
    return LossVerdict::Lost;
  return request.WithinIdleLimit ? LossVerdict::Unanswered
                                 : LossVerdict::NotLost;
}

bool isDisrupted(const std::vector<Disruption> &disruptions, MonoTime from,
                 MonoTime to) {
  return std::any_of(disruptions.begin(), disruptions.end(),
                     [from, to](const Disruption &it) {
                       return overlaps(it, from - ContactWindow, to);
                     });
}

bool overlapsAny(const std::vector<TimeSpan> &spans, MonoTime from,
                 MonoTime to) {
  return std::any_of(spans.begin(), spans.end(),
                     [from, to](const TimeSpan &it) {
                       return it.From <= to && (!it.To || *it.To >= from);
                     });
}

Duration shortestIdleTimeout(const std::vector<IdleTimeoutChange> &changes,
                             MonoTime since) {
  Duration shortest = changes.back().Idle;
  for (std::size_t i = 0; i + 1 < changes.size(); ++i)
    if (changes[i + 1].WrittenAt + ReplacedConfigTime >= since)
      shortest = std::min(shortest, changes[i].Idle);
  return shortest;
}

} // namespace savorylb::soak
