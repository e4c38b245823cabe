#ifndef SAVORYLB_PEER_LINK_H
#define SAVORYLB_PEER_LINK_H

#include "steering_state.h"

#include <array>
#include <boost/asio.hpp>

namespace savorylb {

namespace asio = boost::asio;

/// Sends this VM's report to the others, and takes in theirs.
class PeerLink {
public:
  PeerLink(asio::io_context &io, SteeringState &state)
      : State(state), Socket(io) {}

  /// \returns whether the address could be bound.
  bool open(const std::string &address);

  /// Sends the report to the other VMs, each VM being reached at least every
  /// PeerCount / MaxReports rounds.
  void sendReports();

  /// Sends the uses of teams to the VMs that keep their ledgers.
  void sendTeamReports();

private:
  void receive();
  void onDatagram(const std::string &text);
  void sendTo(const asio::ip::udp::endpoint &to, const std::string &text);

  SteeringState &State;
  asio::ip::udp::socket Socket;
  asio::ip::udp::endpoint Sender;
  std::array<char, 65536> Buffer;
  std::size_t Next = 0;
};

} // namespace savorylb

#endif // SAVORYLB_PEER_LINK_H
