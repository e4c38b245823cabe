#include "target_availability.h"

#include "steering_state.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Requests refused during a pause are told to return spread over this time
/// after its end; otherwise all would return at once.
constexpr Duration ReturnSpread = Millis(100);
/// Shortest Retry-After of a request refused during a pause.
constexpr Duration MinPauseRetryAfter = Millis(50);

bool equalStarts(const TargetStart &a, const TargetStart &b) {
  return a.Id == b.Id && a.Address == b.Address && a.StartId == b.StartId;
}

/// \returns the notices of a process start, known or removed; null if the
///          target has started again.
TargetNotices *findNotices(SteeringState &state, const TargetStart &start,
                           MonoTime now) {
  auto known = state.Targets.find(start.Id);
  if (known != state.Targets.end())
    return isSameStart(known->second.Entry, start) ? &known->second.Notices
                                                   : nullptr;
  // The entry was removed while the request was in flight.
  RetainedNotices &retained = state.Retained[start.Id];
  if (!equalStarts(retained.Start, start))
    retained = {start, TargetNotices(), now};
  return &retained.Notices;
}

} // namespace

TargetStart startOf(const TargetEntry &entry) {
  return {entry.Id, entry.Address, entry.StartId};
}

bool isSameStart(const TargetEntry &entry, const TargetStart &start) {
  return equalStarts(startOf(entry), start);
}

bool takesNewRequests(const SteeringState &state, const TargetState &target) {
  return !target.Entry.Draining && !target.Notices.Leaving &&
         !state.Evacuated.count(target.Entry.Zone);
}

bool isInUse(const SteeringState &state, const TargetStart &start) {
  auto found = state.Targets.find(start.Id);
  return found != state.Targets.end() &&
         isSameStart(found->second.Entry, start) &&
         takesNewRequests(state, found->second);
}

bool isPaused(const TargetState &target, MonoTime now) {
  return now < target.Notices.PausedUntil;
}

bool mayTransmit(const SteeringState &state, const TargetStart &start,
                 MonoTime now) {
  return isInUse(state, start) && !isPaused(state.Targets.at(start.Id), now);
}

bool markLeaving(SteeringState &state, const TargetStart &start, MonoTime now) {
  TargetNotices *notices = findNotices(state, start, now);
  if (!notices || notices->Leaving)
    return false;
  notices->Leaving = true;
  return true;
}

bool pauseTarget(SteeringState &state, const TargetStart &start, Duration pause,
                 MonoTime now) {
  TargetNotices *notices = findNotices(state, start, now);
  if (!notices)
    return false;
  bool paused = now < notices->PausedUntil;
  notices->PausedUntil = std::max(notices->PausedUntil, now + pause);
  return !paused && now < notices->PausedUntil;
}

void addCandidate(TargetCandidates &candidates, TargetState &target,
                  double roundTripMs, MonoTime now) {
  if (!isPaused(target, now)) {
    candidates.Usable.push_back({&target, roundTripMs});
    return;
  }
  MonoTime end = target.Notices.PausedUntil;
  candidates.PauseEnd = std::min(candidates.PauseEnd.value_or(end), end);
}

std::optional<PlacementChoice>
refuseWhilePaused(const TargetCandidates &candidates,
                  const SteeredRequest &request, MonoTime now) {
  bool untried = std::any_of(
      candidates.Usable.begin(), candidates.Usable.end(),
      [&](const PlacementCandidate &it) {
        return std::find(request.Tried.begin(), request.Tried.end(),
                         it.Target->Entry.Id) == request.Tried.end();
      });
  if (untried || !candidates.PauseEnd)
    return std::nullopt;
  Duration spread = request.ArrivedAt.time_since_epoch() % ReturnSpread;
  Duration wait = *candidates.PauseEnd - now + spread;
  // The caller cannot return after its deadline.
  Duration longest = std::max(MinPauseRetryAfter, request.Deadline - now);
  PlacementChoice choice;
  choice.Reason = "paused";
  choice.AllPaused = true;
  choice.RetryAfter = std::clamp(wait, MinPauseRetryAfter, longest);
  return choice;
}

void retainNotices(SteeringState &state, const TargetState &target,
                   MonoTime now) {
  for (auto it = state.Retained.begin(); it != state.Retained.end();)
    it = now - it->second.RetainedAt > NoticeRetention
             ? state.Retained.erase(it)
             : std::next(it);
  if (target.Notices.Leaving || isPaused(target, now))
    state.Retained[target.Entry.Id] = {startOf(target.Entry), target.Notices,
                                       now};
}

void restoreNotices(SteeringState &state, TargetState &target) {
  auto found = state.Retained.find(target.Entry.Id);
  if (found == state.Retained.end())
    return;
  if (isSameStart(target.Entry, found->second.Start))
    target.Notices = found->second.Notices;
  state.Retained.erase(found);
}

void cancelSend(SteeringState &state, SteeredRequest &request,
                const TargetId &target, MonoTime sentAt) {
  auto tried = std::find(request.Tried.begin(), request.Tried.end(), target);
  if (tried != request.Tried.end())
    request.Tried.erase(tried);
  auto found = state.Targets.find(target);
  if (found == state.Targets.end())
    return;
  auto &inFlight = found->second.InFlight;
  auto sent = std::find(inFlight.begin(), inFlight.end(), sentAt);
  if (sent != inFlight.end())
    inFlight.erase(sent);
}

} // namespace savorylb
