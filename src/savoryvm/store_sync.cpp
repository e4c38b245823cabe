#include "store_sync.h"

#include "content_coding.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

#include <algorithm>
#include <utility>

namespace savorylb {
namespace {

/// Timeout of a call to the store; a slow store takes some hundred
/// milliseconds.
constexpr Duration CallTimeout = Millis(900);
constexpr Duration RetryPause = Millis(250);
/// Shortest time between two lists while the mirror is of an older era than the
/// store.
constexpr Duration EraListInterval = Millis(400);
/// Watch wait and timeout of a VM that has followers. They are shorter than
/// those of other VMs, so that it detects a silent connection sooner.
constexpr Millis FollowedWatchWait(1000);
constexpr Duration FollowedWatchTimeout = Millis(700);

void recordStoreBytes(const Result<HttpMessage> &response) {
  if (response)
    incrementCounter("store_bytes_received",
                     static_cast<std::int64_t>(response.value().Body.size()));
}

/// \param error the error of a watch without a response.
CallFailure watchFailure(const Error &error) {
  switch (error.Code) {
  case ErrorCode::Unknown:
    return CallFailure::WatchCut;
  case ErrorCode::Malformed:
    return CallFailure::ResponseTooLarge;
  default:
    return CallFailure::NotServed;
  }
}

} // namespace

StoreSync::StoreSync(asio::io_context &io, const std::string &address,
                     std::string prefix, Millis wait, Duration pause,
                     ChangeCallback changed, ContactCallback contact)
    : Timer(io), Channel(io.get_executor(), address), WatchWait(wait),
      WatchPause(pause), OnChanged(std::move(changed)),
      OnContact(std::move(contact)) {
  Mirror.Prefix = std::move(prefix);
}

void StoreSync::schedule(Duration pause, const std::function<void()> &next) {
  Timer.expires_after(pause);
  std::uint64_t generation = ++StepGeneration;
  Timer.async_wait(
      [this, generation, next](const boost::system::error_code &ec) {
        // The handler may already have been queued when the step was replaced.
        if (!ec && generation == StepGeneration)
          next();
      });
}

bool StoreSync::isNewEra(const Result<HttpMessage> &response) {
  if (!response)
    return false;
  StoreEra era = platform::readStoreEra(response.value());
  OnEra(era, EraSource::Store);
  return isListed(Mirror) && era > Mirror.KnownRevision.Era;
}

void StoreSync::enterEra(StoreEra era) {
  if (era > AnnouncedEra) {
    AnnouncedEra = era;
    ListedSinceAnnounced = false;
  }
  if (isBehindEra() && !Listing)
    restartList();
}

/// \returns whether the store failed to serve this prefix and has not served
///          this VM on another connection since.
bool StoreSync::storeFails() const {
  return StoreFailedAt && Contact->ServedAt <= *StoreFailedAt;
}

Duration StoreSync::mirrorAge() const {
  return monoNow() - completeAt(Freshness, Contact->ServedAt);
}

bool StoreSync::tooOldToFollow() const {
  return storeFails() || mirrorAge() > WatchPause + MaxStoreSilence;
}

bool StoreSync::isBehindEra() const {
  return isListed(Mirror) && Mirror.KnownRevision.Era < AnnouncedEra;
}

/// Lists the documents without waiting for the call in progress, which began
/// before what the list has to show.
void StoreSync::restartList() {
  ++StepGeneration;
  Timer.cancel();
  Channel.close();
  recordWatchEnd(Freshness, Contact->ServedAt);
  if (WatcherChannel)
    WatcherChannel->close();
  NeedsList = true;
  list("");
}

void StoreSync::beginWatches() {
  MonoTime now = monoNow();
  bool delayed = std::exchange(WatchesFrom, now) > now;
  // Before the documents are listed, the list in progress or its repetition
  // begins the watch.
  if (delayed && isListed(Mirror) && !Listing && !NeedsList) {
    ++StepGeneration;
    Timer.cancel();
    watch();
  }
}

void StoreSync::listAgain(std::function<void()> listed) {
  WatchesFrom = monoNow();
  OnListed = std::move(listed);
  restartList();
}

void StoreSync::onFailure(const Error &error, CallFailure failure,
                          MonoTime sentAt) {
  Listing = false;
  // NotFound: the store no longer has the history that the watch needs. Changes
  // that are too large for one response are read by a list, which has pages.
  // All other errors come from the network or from an overloaded store.
  if (error.Code == ErrorCode::NotFound ||
      failure == CallFailure::ResponseTooLarge)
    NeedsList = true;
  else if (auto away = awayUntil(*Contact, failure, sentAt, monoNow())) {
    StoreFailedAt = monoNow();
    OnContact(away);
    answerFollowers();
  }
  schedule(RetryPause, [this] { watch(); });
}

void StoreSync::list(const std::string &after) {
  Listing = true;
  if (after.empty()) {
    PendingList = platform::StorePage();
    ListSentAt = monoNow();
    ListedSinceAnnounced = true;
  }
  recordStoreCall(StoreCall::List);
  Channel.call(
      platform::listRequest(Mirror.Prefix, after), CallTimeout,
      [this, after, sentAt = monoNow()](const Result<HttpMessage> &response) {
        recordStoreBytes(response);
        isNewEra(response);
        auto page = response
                        ? platform::readPage(response.value())
                        : Result<platform::StorePage>(failure(
                              response.error().Code, response.error().Message));
        if (page)
          onListPage(page.value(), after.empty());
        else
          onFailure(page.error(), CallFailure::NotServed, sentAt);
      });
}

void StoreSync::onListPage(const platform::StorePage &page, bool first) {
  // Later pages may hold newer documents; the watch returns all changes since
  // the first page.
  if (first)
    PendingList.StoreRevision = page.StoreRevision;
  StoreEra era = PendingList.StoreRevision.Era;
  bool outdated = era < Mirror.KnownRevision.Era;
  if (page.StoreRevision.Era != era || outdated) {
    Listing = false;
    schedule(outdated ? RetryPause : Duration(0), [this] { list(""); });
    return;
  }
  for (const auto &it : page.Items)
    PendingList.Items.push_back(it);
  if (page.HasMore && !PendingList.Items.empty()) {
    list(PendingList.Items.back().Key);
    return;
  }
  Listing = false;
  NeedsList = false;
  StoreFailedAt.reset();
  recordServed(*Contact, monoNow());
  recordComplete(Freshness, ListSentAt);
  recordStoreSuccess(Selection);
  OnContact(std::nullopt);
  // The store itself shows that the announcement was wrong.
  if (ListedSinceAnnounced)
    AnnouncedEra = std::min(AnnouncedEra, era);
  OnChanged(applySnapshot(Mirror, PendingList));
  Mirror.KnownRevision = PendingList.StoreRevision;
  answerFollowers();
  if (auto listed = std::exchange(OnListed, nullptr))
    listed();
  watch();
}

void StoreSync::watch() {
  // A watcher may be of the older era as well.
  if (isBehindEra() && monoNow() - ListSentAt >= EraListInterval) {
    list("");
    return;
  }
  Duration delay = WatchesFrom - monoNow();
  if (!NeedsList && delay > Duration(0)) {
    schedule(delay, [this] { watch(); });
    return;
  }
  std::string address = selectWatcher(
      Selection,
      PreferredWatchers ? PreferredWatchers() : std::vector<std::string>(),
      storeFails(), monoNow());
  if (!address.empty() && isListed(Mirror))
    followWatcher(address);
  else if (NeedsList)
    list("");
  else if (isBehindEra())
    // The next list is due soon; a watch could wait much longer.
    schedule(ListSentAt + EraListInterval - monoNow(), [this] { watch(); });
  else
    watchStore();
}

void StoreSync::watchStore() {
  bool hasFollowers = !Followers.empty();
  Millis wait =
      hasFollowers ? std::min(WatchWait, FollowedWatchWait) : WatchWait;
  Duration timeout = hasFollowers ? FollowedWatchTimeout : CallTimeout;
  recordStoreCall(StoreCall::Watch);
  recordWatchStart(Freshness, monoNow());
  Channel.call(
      platform::watchRequest(Mirror.Prefix, Mirror.KnownRevision, wait),
      Duration(wait) + timeout,
      [this, sentAt = monoNow()](const Result<HttpMessage> &response) {
        recordStoreBytes(response);
        recordWatchEnd(Freshness, Contact->ServedAt);
        if (isNewEra(response)) {
          NeedsList = true;
          list("");
          return;
        }
        auto page = response
                        ? platform::readPage(response.value())
                        : Result<platform::StorePage>(failure(
                              response.error().Code, response.error().Message));
        if (!page) {
          onFailure(page.error(),
                    response ? CallFailure::NotServed
                             : watchFailure(response.error()),
                    sentAt);
          return;
        }
        StoreFailedAt.reset();
        recordServed(*Contact, monoNow());
        recordComplete(Freshness, monoNow());
        recordStoreSuccess(Selection);
        OnContact(std::nullopt);
        OnChanged(applyChanges(Mirror, page.value()));
        answerFollowers();
        schedule(WatchPause, [this] { watch(); });
      });
}

void StoreSync::followWatcher(const std::string &address) {
  if (!WatcherChannel || WatcherAddress != address) {
    WatcherAddress = address;
    WatcherChannel =
        std::make_unique<HttpChannel>(Timer.get_executor(), address);
  }
  HttpMessage request;
  request.Method = "GET";
  request.Path =
      "/news/" + writePosition(Mirror.KnownRevision) + "/" + Mirror.Prefix;
  acceptDeflate(request);
  WatcherChannel->call(request,
                       followTimeout(Selection, storeFails(), monoNow()),
                       [this, address](const Result<HttpMessage> &response) {
                         onWatcherUpdate(address, response);
                       });
}

void StoreSync::onWatcherUpdate(const std::string &address,
                                const Result<HttpMessage> &response) {
  if (response && OnUpdateSize)
    OnUpdateSize(address, response.value().Body.size());
  auto update =
      response && response.value().Status == 200
          ? readMirrorUpdate(response.value())
          : Result<MirrorUpdate>(failure(ErrorCode::Unavailable, "no update"));
  if (update)
    OnEra(update.value().Page.StoreRevision.Era, EraSource::OtherVm);
  bool usable =
      update && !update.value().Stale &&
      update.value().Page.StoreRevision.Era >= Mirror.KnownRevision.Era;
  if (!usable) {
    incrementCounter("follow_failed");
    logEvent(EventCode::WatcherFailed,
             {{"prefix", Mirror.Prefix},
              {"watcher", address},
              {"reason", std::string(!update ? "no-response" : "outdated")},
              {"mirror_age_us", mirrorAge().count()}});
    recordWatcherFailure(Selection, address, monoNow());
    schedule(Duration(0), [this] { watch(); });
    return;
  }
  recordWatcherSuccess(Selection);
  recordComplete(Freshness, monoNow() - update.value().Age);
  OnContact(std::nullopt);
  const platform::StorePage &page = update.value().Page;
  OnChanged(update.value().Snapshot ? applySnapshot(Mirror, page)
                                    : applyChanges(Mirror, page));
  // An update is complete up to the watcher's revision.
  if (page.StoreRevision.Era == Mirror.KnownRevision.Era)
    NeedsList = false;
  answerFollowers();
  // The pause between two requests to a followed watcher.
  schedule(WatchPause / 4, [this] { watch(); });
}

HttpMessage StoreSync::updateResponse(StorePosition after, bool deflate) const {
  MirrorUpdate update = updateSince(Mirror, after);
  update.Stale = tooOldToFollow();
  update.Age = mirrorAge();
  HttpMessage response = jsonResponse(200, writeMirrorUpdate(update));
  if (deflate)
    deflateBody(response);
  return response;
}

/// Responds with one copy of each update: a small VM cannot write the same
/// documents for each of its followers within their timeout.
void StoreSync::respond(const std::vector<Follower> &followers) const {
  using Content = std::pair<std::optional<StorePosition>, bool>;
  std::map<Content, HttpMessage> responses;
  for (const Follower &it : followers) {
    bool deflate = acceptsDeflate(it.Request->Message);
    Content content(firstChangeSince(Mirror, it.After), deflate);
    auto known = responses.find(content);
    if (known == responses.end())
      known =
          responses.emplace(content, updateResponse(it.After, deflate)).first;
    it.Request->Respond(known->second);
  }
}

void StoreSync::serveFollower(const std::shared_ptr<ServedRequest> &request,
                              StorePosition after) {
  if (after.Era > Mirror.KnownRevision.Era)
    OnEra(after.Era, EraSource::OtherVm);
  Follower follower{request, after, monoNow() + FollowerWait};
  if (tooOldToFollow() || hasNews(after))
    respond({follower});
  else
    Followers.push_back(std::move(follower));
}

bool StoreSync::hasNews(StorePosition after) const {
  // A follower of a newer era waits until this mirror has entered that era.
  if (after.Era > Mirror.KnownRevision.Era)
    return false;
  return hasChangesSince(Mirror, after);
}

void StoreSync::answerFollowers() {
  bool all = tooOldToFollow();
  respondIf([&](const Follower &it) { return all || hasNews(it.After); });
}

void StoreSync::expireFollowers() {
  MonoTime now = monoNow();
  bool all = tooOldToFollow();
  respondIf([&](const Follower &it) { return all || now >= it.Until; });
}

void StoreSync::respondIf(const std::function<bool(const Follower &)> &due) {
  auto first =
      std::stable_partition(Followers.begin(), Followers.end(),
                            [&](const Follower &it) { return !due(it); });
  std::vector<Follower> ended(first, Followers.end());
  Followers.erase(first, Followers.end());
  respond(ended);
}

void StoreSync::adopt(const platform::StorePage &page) {
  if (page.StoreRevision <= Mirror.KnownRevision)
    return;
  bool newEra =
      isListed(Mirror) && page.StoreRevision.Era > Mirror.KnownRevision.Era;
  NeedsList = false;
  OnChanged(applySnapshot(Mirror, page));
  // A watch in progress began at a revision of the older era.
  if (newEra && !Listing)
    restartList();
}

} // namespace savorylb
