#ifndef SAVORYLB_STORE_SYNC_H
#define SAVORYLB_STORE_SYNC_H

#include "http_server.h"
#include "store_channel.h"
#include "store_mirror.h"
#include "watcher_selection.h"

#include <functional>

namespace savorylb {

/// Keeps a mirror of one prefix up to date.
class StoreSync {
public:
  using Changed = std::function<void(const std::vector<platform::StoreItem> &)>;
  /// Told after each call whether the store answered.
  using Contact = std::function<void(bool)>;

  /// \param io runs the calls.
  /// \param address of the store.
  /// \param prefix of the documents.
  /// \param wait how long a watch waits for a change.
  /// \param pause between two watches; several changes come in one then.
  /// \param changed gets all changes.
  /// \param contact told after each call.
  StoreSync(asio::io_context &io, const std::string &address,
            std::string prefix, Millis wait, Duration pause, Changed changed,
            Contact contact);

  /// Names the VMs whose mirrors may be followed in place of the store, in the
  /// order of preference.
  using Readers = std::function<std::vector<std::string>()>;
  void follow(Readers readers) { ReadersBefore = std::move(readers); }

  void start() { list(""); }

  /// Answers a VM that follows this mirror, as soon as there is news.
  void serveFollower(const std::shared_ptr<ServedRequest> &request,
                     Revision after);

  /// Answers followers that have waited long enough.
  void expireFollowers();

  /// Takes in documents from another VM, if they are newer.
  void adopt(const platform::StorePage &page);

  const StoreMirror &mirror() const { return Mirror; }

private:
  void list(const std::string &after);
  void watch();
  void watchStore();
  void watchPeer(const std::string &address);
  void onNews(const std::string &address, const Result<HttpMessage> &response);
  void answerFollowers();
  void respond(const std::shared_ptr<ServedRequest> &request, Revision after);
  void later(Duration pause, const std::function<void()> &next);
  void failed(const Error &error);

  asio::steady_timer Timer;
  StoreChannel Channel;
  StoreMirror Mirror;
  Millis Wait;
  Duration Pause;
  Changed OnChanged;
  Contact OnContact;
  platform::StorePage Listed;
  /// A list is needed before changes can be watched.
  bool NeedsList = true;
  bool StoreFails = false;
  Readers ReadersBefore;
  std::string PeerAddress;
  std::unique_ptr<StoreChannel> Peer;
  WatcherSelection Choice;
  struct Follower {
    std::shared_ptr<ServedRequest> Request;
    Revision After;
    MonoTime Until{};
  };
  std::vector<Follower> Followers;
};

} // namespace savorylb

#endif // SAVORYLB_STORE_SYNC_H
