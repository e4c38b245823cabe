#include "store_sync.h"

#include "savorylb/event_log.h"

namespace savorylb {
namespace {

/// Longest time of one answer; a slow store takes some hundred milliseconds.
constexpr Duration CallTimeout = Millis(900);
constexpr Duration RetryPause = Millis(250);

} // namespace

StoreSync::StoreSync(asio::io_context &io, const std::string &address,
                     std::string prefix, Millis wait, Duration pause,
                     Changed changed, Contact contact)
    : Timer(io), Channel(io, address), Wait(wait), Pause(pause),
      OnChanged(std::move(changed)), OnContact(std::move(contact)) {
  Mirror.Prefix = std::move(prefix);
}

void StoreSync::later(Duration pause, std::function<void()> next) {
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
  else
    OnContact(false);
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
               [this, after](Result<HttpMessage> response) {
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
  Channel.call(platform::watchRequest(Mirror.Prefix, Mirror.Known, Wait),
               Duration(Wait) + CallTimeout,
               [this](Result<HttpMessage> response) {
                 auto page = response ? platform::readPage(response.value())
                                      : Result<platform::StorePage>(
                                            failure(response.error().Code,
                                                    response.error().Message));
                 if (!page) {
                   failed(page.error());
                   return;
                 }
                 OnContact(true);
                 OnChanged(applyChanges(Mirror, page.value()));
                 later(Pause, [this] { watch(); });
               });
}

void StoreSync::adopt(const platform::StorePage &page) {
  if (page.Read <= Mirror.Known)
    return;
  NeedsList = false;
  OnChanged(applyList(Mirror, page));
}

} // namespace savorylb
