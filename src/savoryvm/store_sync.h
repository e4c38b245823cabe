#ifndef SAVORYLB_STORE_SYNC_H
#define SAVORYLB_STORE_SYNC_H

#include "store_channel.h"
#include "store_mirror.h"

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

  void start() { list(""); }

  /// Takes in documents from another VM, if they are newer.
  void adopt(const platform::StorePage &page);

  const StoreMirror &mirror() const { return Mirror; }

private:
  void list(const std::string &after);
  void watch();
  void later(Duration pause, std::function<void()> next);
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
};

} // namespace savorylb

#endif // SAVORYLB_STORE_SYNC_H
