#ifndef SAVORYLB_PEER_LINK_H
#define SAVORYLB_PEER_LINK_H

#include "steering_state.h"

#include <array>
#include <boost/asio.hpp>

namespace savorylb {

namespace asio = boost::asio;

/// Exchanges reports with the other VMs in UDP datagrams.
class PeerLink {
public:
  PeerLink(asio::io_context &io, SteeringState &state)
      : State(state), Socket(io) {}

  /// Compresses the reports to other VMs from now on, or no longer. Compressed
  /// ones are read in any case.
  void compressReports(bool compress) { Compress = compress; }

  /// Binds the socket and starts to receive.
  /// \param address `ip:port`.
  /// \returns whether the address could be bound.
  bool open(const std::string &address);

  /// Sends this VM's report to the other VMs. In a large fleet, each call sends
  /// it to the next MaxReportsPerRound VMs in rotation, so that each of n VMs
  /// receives a report about every n / MaxReportsPerRound calls.
  void sendReports();

  /// Sends this VM's report to all other VMs.
  void announce();

  /// Sends the loads of targets that this VM has read since the last call to
  /// the live VMs of its availability zone, to at most MaxLoadReceivers of them
  /// in rotation.
  void sendLoads();

  /// Sends this VM's counts of usage to the holder of the duty.
  /// \returns false if the holder's address is not known.
  bool sendUsage(const VmId &holder, const UsageReport &report);

  /// Sends the due reports of teams' usage to the VMs that own the teams'
  /// ledgers.
  void sendTeamReports();

private:
  void receive();
  const VmEntry *findVm(const VmId &vm) const;
  void sendReports(std::size_t count);
  void onBytes(const std::string &bytes);
  void onDatagram(const std::string &text);
  void sendTo(const asio::ip::udp::endpoint &to, const ZoneId &zone,
              const std::string &text);

  SteeringState &State;
  asio::ip::udp::socket Socket;
  asio::ip::udp::endpoint Sender;
  std::array<char, 65536> Buffer;
  std::size_t NextPeer = 0;
  std::size_t NextLoadReceiver = 0;
  bool Compress = false;
};

} // namespace savorylb

#endif // SAVORYLB_PEER_LINK_H
