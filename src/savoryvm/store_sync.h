#ifndef SAVORYLB_STORE_SYNC_H
#define SAVORYLB_STORE_SYNC_H

#include "http_channel.h"
#include "http_server.h"
#include "mirror_freshness.h"
#include "store_contact.h"
#include "store_mirror.h"
#include "watcher_selection.h"

#include <functional>

namespace savorylb {

/// Where an era was seen. Only the store confirms an era.
enum class EraSource { Store, OtherVm };

/// Keeps the mirror of one prefix up to date, by watching the store or by
/// following the mirror of another VM.
class StoreSync {
public:
  /// Receives the changes that were applied to the mirror.
  using ChangeCallback =
      std::function<void(const std::vector<platform::StoreItem> &)>;
  /// Called without a time after documents were received from the store or from
  /// a VM that reaches it, and after a call to the store failed with the time
  /// until which the store was away. Not called when a followed watcher failed,
  /// or when the store no longer has the history that a watch needs.
  using ContactCallback = std::function<void(std::optional<MonoTime> away)>;

  /// \param address `ip:port` of the store.
  /// \param prefix key prefix of the documents.
  /// \param wait how long a watch waits for a change.
  /// \param pause time between two watches, in which changes accumulate.
  /// \param changed receives the changes that were applied.
  /// \param contact receives the successes and failures, see ContactCallback.
  StoreSync(asio::io_context &io, const std::string &address,
            std::string prefix, Millis wait, Duration pause,
            ChangeCallback changed, ContactCallback contact);

  /// Returns the addresses of the watchers, in order of preference. A watcher
  /// is a VM that watches the store and whose mirror may be followed instead.
  using WatcherSource = std::function<std::vector<std::string>()>;
  /// Sets the source of the watchers that may be followed.
  void follow(WatcherSource watchers) {
    PreferredWatchers = std::move(watchers);
  }

  /// Receives the era of each answer of the store or of a watcher, and of
  /// requests of followers that are of a newer era than this mirror.
  using EraCallback = std::function<void(StoreEra, EraSource)>;
  void reportEras(EraCallback report) { OnEra = std::move(report); }

  /// Receives the address of the followed VM and the size of each update.
  using UpdateSizeCallback =
      std::function<void(const std::string &, std::size_t)>;
  void reportUpdateSizes(UpdateSizeCallback report) {
    OnUpdateSize = std::move(report);
  }

  /// Shares the record of the store's answers with the other users of the
  /// store.
  void shareContact(std::shared_ptr<StoreContact> contact) {
    Contact = std::move(contact);
  }

  /// Lists the documents again, without waiting for the call in progress, if
  /// the mirror is of an older era, until a list of that era succeeds.
  void enterEra(StoreEra era);

  /// Lists the documents, then watches for changes.
  void start() { list(""); }

  /// Begins no watch before a time, unless beginWatches() is called: once the
  /// other VMs are known, this VM may follow one of them instead.
  void delayWatches(MonoTime until) { WatchesFrom = until; }

  /// Ends the delay of delayWatches().
  void beginWatches();

  /// Lists the documents again, without waiting for the call in progress or for
  /// the time of delayWatches().
  /// \param listed called once after a list that began after this call.
  void listAgain(std::function<void()> listed);

  /// Responds to a VM that follows this mirror, as soon as the mirror has
  /// changes after the given revision.
  void serveFollower(const std::shared_ptr<ServedRequest> &request,
                     StorePosition after);

  /// Responds to followers whose wait has expired, and to all while the mirror
  /// is too old to be followed.
  void expireFollowers();

  /// Applies a snapshot from another VM if it is newer than the mirror.
  void adopt(const platform::StorePage &page);

  const StoreMirror &mirror() const { return Mirror; }

private:
  bool isBehindEra() const;
  bool storeFails() const;
  Duration mirrorAge() const;
  bool tooOldToFollow() const;
  void restartList();
  void list(const std::string &after);
  void onListPage(const platform::StorePage &page, bool first);
  bool isNewEra(const Result<HttpMessage> &response);
  void watch();
  void watchStore();
  void followWatcher(const std::string &address);
  void onWatcherUpdate(const std::string &address,
                       const Result<HttpMessage> &response);
  struct Follower {
    std::shared_ptr<ServedRequest> Request;
    StorePosition After;
    MonoTime Until{};
  };
  void answerFollowers();
  /// Responds to the followers for which a condition holds.
  void respondIf(const std::function<bool(const Follower &)> &due);
  void respond(const std::vector<Follower> &followers) const;
  HttpMessage updateResponse(StorePosition after, bool deflate) const;
  bool hasNews(StorePosition after) const;
  void schedule(Duration pause, const std::function<void()> &next);
  void onFailure(const Error &error, CallFailure failure, MonoTime sentAt);

  asio::steady_timer Timer;
  HttpChannel Channel;
  StoreMirror Mirror;
  Millis WatchWait;
  Duration WatchPause;
  ChangeCallback OnChanged;
  ContactCallback OnContact;
  EraCallback OnEra;
  UpdateSizeCallback OnUpdateSize;
  platform::StorePage PendingList;
  std::function<void()> OnListed;
  /// The documents must be listed before changes can be watched.
  bool NeedsList = true;
  /// A list is in progress.
  bool Listing = false;
  /// The highest era that was announced, and whether a list began after that.
  StoreEra AnnouncedEra;
  bool ListedSinceAnnounced = false;
  /// The documents are listed, but not watched, before this time.
  MonoTime WatchesFrom{};
  /// When the first page of the last list was requested.
  MonoTime ListSentAt{};
  /// Incremented to discard the step that the timer will run.
  std::uint64_t StepGeneration = 0;
  /// When the last call of the store failed; unset after one that succeeded.
  std::optional<MonoTime> StoreFailedAt;
  std::shared_ptr<StoreContact> Contact = std::make_shared<StoreContact>();
  MirrorFreshness Freshness;
  WatcherSource PreferredWatchers;
  std::string WatcherAddress;
  std::unique_ptr<HttpChannel> WatcherChannel;
  WatcherSelection Selection;
  std::vector<Follower> Followers;
};

} // namespace savorylb

#endif // SAVORYLB_STORE_SYNC_H
