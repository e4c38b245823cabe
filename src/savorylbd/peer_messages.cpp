#include "peer_messages.h"

#include "vm_brief.h"

#include <algorithm>
#include <iterator>

namespace savorylb {
namespace {

/// Names on the wire, in the order of the enumerators.
constexpr const char *VerdictNames[] = {
    "go", "in_progress", "done", "unknown", "conflict", "not_home", "refused"};
constexpr const char *ResultNames[] = {
    "done", "failed", "shed", "timeout", "unused", "timeout-busy", "left-busy"};
constexpr const char *StateNames[] = {"in_progress", "done", "unknown"};

std::uint64_t toMillis(Duration span) {
  auto ms = std::chrono::duration_cast<Millis>(span).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, ms));
}

template <typename E, std::size_t N>
E fromName(const char *const (&names)[N], const std::string &name, E fallback) {
  for (std::size_t i = 0; i < N; ++i)
    if (name == names[i])
      return static_cast<E>(i);
  return fallback;
}

} // namespace

void fillAnswer(const StoredAnswer &answer, peer::StoredAnswer &out) {
  out.set_status(static_cast<std::uint32_t>(answer.Status));
  for (const auto &[name, value] : answer.Headers) {
    out.add_header_names(name);
    out.add_header_values(value);
  }
  out.set_body(answer.Body);
  out.set_body_kept(answer.BodyKept);
}

StoredAnswer readAnswer(const peer::StoredAnswer &in) {
  StoredAnswer answer;
  answer.Status = static_cast<int>(in.status());
  int n = std::min(in.header_names_size(), in.header_values_size());
  for (int i = 0; i < n; ++i)
    answer.Headers.emplace_back(in.header_names(i), in.header_values(i));
  answer.Body = in.body();
  answer.BodyKept = in.body_kept();
  return answer;
}

void fillEntry(const OnceEntry &entry, MonoTime now, peer::OnceEntry &out) {
  out.set_identity(entry.Identity.Value);
  out.set_digest(entry.Digest);
  out.set_team(entry.Team.Value);
  out.set_state(StateNames[static_cast<int>(entry.State)]);
  out.set_entry(entry.Number);
  out.set_age_ms(toMillis(now - entry.BegunAt));
  out.set_deadline_in_ms(toMillis(entry.Deadline - now));
  fillAnswer(entry.Answer, *out.mutable_answer());
}

OnceEntry readEntry(const peer::OnceEntry &in, MonoTime now) {
  OnceEntry entry;
  entry.Identity = RequestId(in.identity());
  entry.Digest = in.digest();
  entry.Team = TeamId(in.team());
  entry.State = fromName(StateNames, in.state(), OnceState::Unknown);
  entry.Number = in.entry();
  entry.BegunAt = now - Millis(static_cast<std::int64_t>(in.age_ms()));
  entry.Deadline = now + Millis(static_cast<std::int64_t>(in.deadline_in_ms()));
  entry.Answer = readAnswer(in.answer());
  return entry;
}

void fillView(const VmView &view, MonoTime now, peer::VmState &out) {
  peer::VmInfo &info = *out.mutable_info();
  info.set_vm(view.Name.Value);
  info.set_incarnation(view.VmIncarnation.Value);
  info.set_zone(view.Zone.Value);
  info.set_region(view.Region.Value);
  info.set_peer_endpoint(view.PeerEndpoint);
  info.set_caller_endpoint(view.CallerEndpoint);
  info.set_departing(view.Departing);
  info.set_takes_briefs(view.TakesBriefs);
  out.set_age_ms(static_cast<std::uint32_t>(toMillis(now - view.AsOf)));
  for (const auto &[key, load] : view.Loads) {
    peer::ServiceLoad &it = *out.add_loads();
    it.set_service(key.first.Value);
    it.set_version(key.second.Value);
    it.set_free_slots(static_cast<std::uint32_t>(load.FreeSlots));
    it.set_total_slots(static_cast<std::uint32_t>(load.TotalSlots));
    it.set_queued(static_cast<std::uint32_t>(load.Queued));
  }
  for (const auto &[team, level] : view.Tokens) {
    peer::TeamTokens &it = *out.add_tokens();
    it.set_team(team.Value);
    it.set_micro_tokens(level.Value);
  }
  out.set_store_age_ms(toMillis(now - view.StoreContactAt));
  out.set_store_contact(view.StoreContact);
}

VmView readView(const peer::VmState &in, MonoTime sentAt) {
  VmView view;
  const peer::VmInfo &info = in.info();
  view.Name = VmId(info.vm());
  view.VmIncarnation = Incarnation(info.incarnation());
  view.Zone = ZoneId(info.zone());
  view.Region = RegionId(info.region());
  view.PeerEndpoint = info.peer_endpoint();
  view.CallerEndpoint = info.caller_endpoint();
  view.Departing = info.departing();
  view.AsOf = sentAt - Millis(in.age_ms());
  for (const peer::ServiceLoad &it : in.loads()) {
    PublishedLoad load;
    load.FreeSlots = static_cast<int>(it.free_slots());
    load.TotalSlots = static_cast<int>(it.total_slots());
    load.Queued = static_cast<int>(it.queued());
    view.Loads[{ServiceId(it.service()), VersionId(it.version())}] = load;
  }
  for (const peer::TeamTokens &it : in.tokens())
    view.Tokens[TeamId(it.team())] = MicroTokens(it.micro_tokens());
  view.StoreContactAt =
      sentAt - Millis(static_cast<std::int64_t>(in.store_age_ms()));
  view.StoreContact = in.store_contact();
  view.TakesBriefs = info.takes_briefs();
  view.BriefId = briefId(view);
  return view;
}

const char *verdictName(OnceVerdict verdict) {
  return VerdictNames[static_cast<int>(verdict)];
}

OnceVerdict verdictFromName(const std::string &name) {
  return fromName(VerdictNames, name, OnceVerdict::Unknown);
}

const char *resultName(SlotResult result) {
  return ResultNames[static_cast<int>(result)];
}

SlotResult resultFromName(const std::string &name) {
  return fromName(ResultNames, name, SlotResult::Failed);
}

} // namespace savorylb
