#include "store_sync.h"

#include "savorylb/clock.h"
#include "savorylb/metrics.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Longest time of one answer; a slow store takes some hundred milliseconds.
constexpr Duration CallTimeout = Millis(900);
constexpr Duration RetryPause = Millis(250);
/// How long a follower waits for news, and for the answer beyond that. Both
/// together are two fifths of the time in which a configuration has to be in
/// force, so that the store can still be asked after two failures.
constexpr Duration FollowWait = Millis(600);
constexpr Duration FollowTimeout = Millis(400);
/// A VM that is followed notices a silent connection sooner than others.
constexpr Millis FollowedWait(1000);
constexpr Duration FollowedTimeout = Millis(700);

} // namespace

StoreSync::StoreSync(asio::io_context &io, const std::string &address,
                     std::string prefix, Millis wait, Duration pause,
                     Changed changed, Contact contact)
    : Timer(io), Channel(io.get_executor(), address), Wait(wait), Pause(pause),
      OnChanged(std::move(changed)), OnContact(std::move(contact)) {
  Mirror.Prefix = std::move(prefix);
}

void StoreSync::later(Duration pause, const std::function<void()> &next) {
  Timer.expires_after(pause);
  Timer.async_wait([next](const boost::system::error_code &ec) {
    if (!ec)
      next();
  });
}

void StoreSync::failed(const Error &error) {
  // The history that the watch needs is gone; the other errors are of the
  // path or of the store's load.
  if (error.Code == ErrorCode::NotFound)
    NeedsList = true;
  else {
    OnContact(false);
    StoreFails = true;
    answerFollowers();
  }
  later(RetryPause, [this] {
    if (NeedsList)
      list("");
    else
      watch();
  });
}

void StoreSync::list(const std::string &after) {
  if (after.empty())
    Listed = platform::StorePage();
  Channel.call(platform::listRequest(Mirror.Prefix, after), CallTimeout,
               [this, after](const Result<HttpMessage> &response) {
                 auto page = response ? platform::readPage(response.value())
                                      : Result<platform::StorePage>(
                                            failure(response.error().Code,
                                                    response.error().Message));
                 if (!page) {
                   failed(page.error());
                   return;
                 }
                 // Later pages may hold newer documents; changes since the
                 // first page come with the watch.
                 if (after.empty())
                   Listed.Read = page.value().Read;
                 for (auto &it : page.value().Items)
                   Listed.Items.push_back(std::move(it));
                 if (page.value().More && !Listed.Items.empty()) {
                   list(Listed.Items.back().Key);
                   return;
                 }
                 NeedsList = false;
                 OnContact(true);
                 OnChanged(applyList(Mirror, Listed));
                 Mirror.Known = Listed.Read;
                 watch();
               });
}

void StoreSync::watch() {
  std::string address = selectWatcher(
      Choice, ReadersBefore ? ReadersBefore() : std::vector<std::string>(),
      StoreFails, monoNow());
  if (address.empty())
    watchStore();
  else
    watchPeer(address);
}

void StoreSync::watchStore() {
  bool followed = !Followers.empty();
  Millis wait = followed ? std::min(Wait, FollowedWait) : Wait;
  Duration timeout = followed ? FollowedTimeout : CallTimeout;
  Channel.call(platform::watchRequest(Mirror.Prefix, Mirror.Known, wait),
               Duration(wait) + timeout,
               [this](const Result<HttpMessage> &response) {
                 auto page = response ? platform::readPage(response.value())
                                      : Result<platform::StorePage>(
                                            failure(response.error().Code,
                                                    response.error().Message));
                 if (!page) {
                   failed(page.error());
                   return;
                 }
                 StoreFails = false;
                 OnContact(true);
                 OnChanged(applyChanges(Mirror, page.value()));
                 answerFollowers();
                 later(Pause, [this] { watch(); });
               });
}

void StoreSync::watchPeer(const std::string &address) {
  if (!Peer || PeerAddress != address) {
    PeerAddress = address;
    Peer = std::make_unique<StoreChannel>(Timer.get_executor(), address);
  }
  HttpMessage request;
  request.Method = "GET";
  request.Path =
      "/news/" + std::to_string(Mirror.Known.Value) + "/" + Mirror.Prefix;
  Peer->call(request, FollowWait + FollowTimeout,
             [this, address](const Result<HttpMessage> &response) {
               onNews(address, response);
             });
}

void StoreSync::onNews(const std::string &address,
                       const Result<HttpMessage> &response) {
  auto news =
      response && response.value().Status == 200
          ? readNews(response.value().Body)
          : Result<MirrorNews>(failure(ErrorCode::Unavailable, "no news"));
  if (!news || news.value().Stale) {
    countEvent("follow_failed");
    recordWatcherFailure(Choice, address, monoNow());
    later(Duration(0), [this] { watch(); });
    return;
  }
  recordWatcherSuccess(Choice);
  OnContact(true);
  const platform::StorePage &page = news.value().Page;
  OnChanged(news.value().Whole ? applyList(Mirror, page)
                               : applyChanges(Mirror, page));
  answerFollowers();
  later(Pause / 4, [this] { watch(); });
}

void StoreSync::respond(const std::shared_ptr<ServedRequest> &request,
                        Revision after) {
  MirrorNews news = newsAfter(Mirror, after);
  news.Stale = StoreFails;
  request->Respond(jsonResponse(200, writeNews(news)));
}

void StoreSync::serveFollower(const std::shared_ptr<ServedRequest> &request,
                              Revision after) {
  if (StoreFails || newsAfter(Mirror, after).Page.Items.size() > 0)
    respond(request, after);
  else
    Followers.push_back({request, after, monoNow() + FollowWait});
}

void StoreSync::answerFollowers() {
  auto waiting = std::move(Followers);
  Followers.clear();
  for (Follower &it : waiting) {
    if (StoreFails || !newsAfter(Mirror, it.After).Page.Items.empty())
      respond(it.Request, it.After);
    else
      Followers.push_back(std::move(it));
  }
}

void StoreSync::expireFollowers() {
  MonoTime now = monoNow();
  auto late =
      std::stable_partition(Followers.begin(), Followers.end(),
                            [&](const Follower &it) { return now < it.Until; });
  std::vector<Follower> ended(late, Followers.end());
  Followers.erase(late, Followers.end());
  for (const Follower &it : ended)
    respond(it.Request, it.After);
}

void StoreSync::adopt(const platform::StorePage &page) {
  if (page.Read <= Mirror.Known)
    return;
  NeedsList = false;
  OnChanged(applyList(Mirror, page));
  Mirror.RemovalsSince = page.Read;
  Mirror.Removals.clear();
}

} // namespace savorylb
