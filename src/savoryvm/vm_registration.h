#ifndef SAVORYLB_VM_REGISTRATION_H
#define SAVORYLB_VM_REGISTRATION_H

#include "store_channel.h"
#include "store_protocol.h"

#include <deque>

namespace savorylb {

/// Keeps this VM's entry in the store under a lease, and writes changes.
class VmRegistration {
public:
  /// \param io runs the calls.
  /// \param address of the store.
  /// \param key of this VM's entry.
  /// \param value of the entry.
  /// \param minLease shortest lease that the store gives.
  VmRegistration(asio::io_context &io, const std::string &address,
                 std::string key, std::string value, Millis minLease);

  void start() { step(); }

  /// Removes the entry and ends.
  void stop();

  /// Writes a change once; it is dropped when its condition does not hold.
  void write(platform::StoreChange change);

private:
  void step();
  void next(Duration pause);
  void openLease();
  void putEntry();
  void renew();
  void writeFront();

  asio::steady_timer Timer;
  StoreChannel Channel;
  std::string Key;
  std::string Value;
  Millis LeaseSpan;
  std::int64_t Lease = 0;
  bool Written = false;
  bool Stopping = false;
  bool Busy = false;
  std::deque<platform::StoreChange> Changes;
};

} // namespace savorylb

#endif // SAVORYLB_VM_REGISTRATION_H
